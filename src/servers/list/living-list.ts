import { isAsked, type AskedList } from './asked-list.js';
import type { ServerList } from './server-list.js';

/** The list as decisions see it: a server that is gone is not there. */
export const livingListOf = (list: ServerList | AskedList): ServerList =>
  isAsked(list)
    ? { version: list.version, atUs: list.atUs, servers: list.servers.filter(({ state }) => state !== 'gone') }
    : list;
