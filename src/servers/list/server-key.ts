import type { ListedServer } from './listed-server.js';

/** A server's identity: id, incarnation, service and address together. */
export type ServerKey = string;

export const serverKeyOf = (server: ListedServer): ServerKey =>
  `${server.id}/${server.incarnation}/${server.service}/${server.address}`;
