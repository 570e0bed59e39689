import type { Micros } from '../../common/micros.js';
import type { PolledList } from '../list/polled-list.js';
import type { ListedServer } from '../list/listed-server.js';
import { polledListOf, mergeLists, dropExpiredTombstones } from '../list/merge-lists.js';
import type { ListReading } from './list-reading.js';
import type { PolledServer } from './polled-server.js';

const toListedServer = (server: PolledServer, known: ListedServer | undefined, nowUs: Micros): ListedServer => ({
  id: server.id,
  incarnation: server.incarnation ?? server.id,
  service: server.service,
  address: server.address,
  locality: server.locality,
  listedAtUs: known?.listedAtUs ?? nowUs,
  state: server.state,
  ...(server.state === 'leaving' ? { leavingAtUs: known?.leavingAtUs ?? nowUs } : {}),
  ...(server.slots === undefined ? {} : { slots: server.slots }),
  ...(server.weights === undefined
    ? {}
    : {
        weights: server.weights,
        weightsAtUs: known?.weights === server.weights ? (known.weightsAtUs ?? nowUs) : nowUs,
      }),
});

/**
 * A server that was listed less than this before a poll began is not removed if the poll lacks it: polls of two nodes
 * overlap, and their clocks differ slightly.
 */
export const listingGraceUs: Micros = 500_000;

/**
 * Merges a reading that began at `begunUs` and arrived at `nowUs` of the fleet's clock into the list; returns the same list
 * if nothing changed. Only a complete reading marks missing servers as gone, and only those that had been listed for
 * `listingGraceUs` when it began, since a late reading may be older than the list.
 */
export const applyReading = (
  known: PolledList | undefined,
  reading: ListReading,
  nowUs: Micros,
  begunUs: Micros = nowUs,
): PolledList => {
  const stampUs = Math.floor(nowUs / 1_000) * 1_000;
  const knownById = new Map((known?.servers ?? []).map((server) => [server.id, server] as const));
  const readIds = new Set(reading.servers.map(({ id }) => id));
  const present = reading.servers.map((server) => toListedServer(server, knownById.get(server.id), stampUs));
  const missing = reading.whole
    ? [...knownById.values()]
        .filter(
          ({ id, listedAtUs, state }) => state !== 'gone' && !readIds.has(id) && listedAtUs + listingGraceUs <= begunUs,
        )
        .map((server): ListedServer => ({ ...server, state: 'gone', goneAtUs: stampUs }))
    : [];
  const update = polledListOf([...present, ...missing], stampUs);
  if (known === undefined) return update;
  const next = mergeLists(known, update);
  return next.digest === known.digest ? known : dropExpiredTombstones(next);
};
