import { isAsked, type AskedList } from './asked-list.js';
import type { ServerList } from './server-list.js';

/** The list without tombstones, as routing decisions use it. */
export const livingListOf = (list: ServerList | AskedList): ServerList =>
  isAsked(list)
    ? { version: list.version, atUs: list.atUs, servers: list.servers.filter(({ state }) => state !== 'gone') }
    : list;
