import type { Micros } from '../../common/micros.js';
import type { AskedList } from '../list/asked-list.js';
import type { ListedServer } from '../list/listed-server.js';
import { askedListOf, mergeLists, withoutOldTombstones } from '../list/merge-lists.js';
import type { ListReading } from './list-reading.js';
import type { ReadServer } from './read-server.js';

const listed = (server: ReadServer, known: ListedServer | undefined, nowUs: Micros): ListedServer => ({
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

/** Readings of two nodes overlap, and their times differ a little; a server first seen later than this before is not missed. */
export const settledUs: Micros = 500_000;

/**
 * The list after a reading that began and came in at moments of the fleet's time. Only a whole reading proves a server
 * gone, and only one that had been listed for a while when it began: a late reading may be older than the list.
 */
export const foldReading = (
  known: AskedList | undefined,
  reading: ListReading,
  nowUs: Micros,
  begunUs: Micros = nowUs,
): AskedList => {
  const stampUs = Math.floor(nowUs / 1_000) * 1_000;
  const knownById = new Map((known?.servers ?? []).map((server) => [server.id, server] as const));
  const readIds = new Set(reading.servers.map(({ id }) => id));
  const shown = reading.servers.map((server) => listed(server, knownById.get(server.id), stampUs));
  const missed = reading.whole
    ? [...knownById.values()]
        .filter(
          ({ id, listedAtUs, state }) => state !== 'gone' && !readIds.has(id) && listedAtUs + settledUs <= begunUs,
        )
        .map((server): ListedServer => ({ ...server, state: 'gone', goneAtUs: stampUs }))
    : [];
  const news = askedListOf([...shown, ...missed], stampUs);
  if (known === undefined) return news;
  const next = mergeLists(known, news);
  return next.digest === known.digest ? known : withoutOldTombstones(next);
};
