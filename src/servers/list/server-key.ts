import type { ListedServer } from './listed-server.js';

/** Identifies one incarnation of a server: id, incarnation, service and address. */
export type ServerKey = string;

export const serverKeyOf = (server: ListedServer): ServerKey =>
  `${server.id}/${server.incarnation}/${server.service}/${server.address}`;
