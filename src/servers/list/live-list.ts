import { isPolledList, type PolledList } from './polled-list.js';
import type { ServerList } from './server-list.js';

/** The list without tombstones, as routing decisions use it. */
export const liveListOf = (list: ServerList | PolledList): ServerList =>
  isPolledList(list)
    ? { version: list.version, atUs: list.atUs, servers: list.servers.filter(({ state }) => state !== 'gone') }
    : list;
