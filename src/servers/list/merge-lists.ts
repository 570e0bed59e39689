import type { Micros } from '../../common/micros.js';
import type { PolledList } from './polled-list.js';
import type { ListedServer } from './listed-server.js';
import { digestOfServers, versionOfServers, versionContributionOf } from './list-version.js';
import { rankOfState } from './server-state.js';

const earliestOf = (left: Micros | undefined, right: Micros | undefined): Micros | undefined =>
  left === undefined || right === undefined ? (left ?? right) : Math.min(left, right);

const maxOf = (left: number | undefined, right: number | undefined): number | undefined =>
  left === undefined || right === undefined ? (left ?? right) : Math.max(left, right);

const originOf = ({ incarnation, service, address, locality }: ListedServer): string =>
  JSON.stringify([incarnation, service, address, locality]);

const weightsOrderOf = ({ weights, weightsAtUs }: ListedServer): readonly [number, string] => [
  weightsAtUs ?? -1,
  weights ?? '',
];

const laterWeights = (left: ListedServer, right: ListedServer): ListedServer => {
  const [leftUs, leftName] = weightsOrderOf(left);
  const [rightUs, rightName] = weightsOrderOf(right);
  if (leftUs !== rightUs) return leftUs > rightUs ? left : right;
  return leftName >= rightName ? left : right;
};

const definedFields = (
  entry: Pick<ListedServer, 'leavingAtUs' | 'goneAtUs' | 'slots' | 'weights' | 'weightsAtUs'>,
) => ({
  ...(entry.leavingAtUs === undefined ? {} : { leavingAtUs: entry.leavingAtUs }),
  ...(entry.goneAtUs === undefined ? {} : { goneAtUs: entry.goneAtUs }),
  ...(entry.slots === undefined ? {} : { slots: entry.slots }),
  ...(entry.weights === undefined ? {} : { weights: entry.weights }),
  ...(entry.weightsAtUs === undefined ? {} : { weightsAtUs: entry.weightsAtUs }),
});

/** The join of two entries of one server: the more advanced state and the earliest stamps. */
export const mergeServers = (left: ListedServer, right: ListedServer): ListedServer => {
  const { id, incarnation, service, address, locality } = originOf(left) <= originOf(right) ? left : right;
  const { weights, weightsAtUs } = laterWeights(left, right);
  return {
    id,
    incarnation,
    service,
    address,
    locality,
    listedAtUs: Math.min(left.listedAtUs, right.listedAtUs),
    state: rankOfState(left.state) >= rankOfState(right.state) ? left.state : right.state,
    ...definedFields({
      leavingAtUs: earliestOf(left.leavingAtUs, right.leavingAtUs),
      goneAtUs: earliestOf(left.goneAtUs, right.goneAtUs),
      slots: maxOf(left.slots, right.slots),
      weights,
      weightsAtUs,
    }),
  };
};

const isDropped = (server: ListedServer, floorUs: Micros): boolean =>
  server.goneAtUs !== undefined && server.goneAtUs < floorUs;

const byId = (left: ListedServer, right: ListedServer): number => (left.id < right.id ? -1 : 1);

/** Builds a polled list from entries in any order. */
export const polledListOf = (
  entries: readonly ListedServer[],
  atUs: Micros,
  floorUs: Micros = 0,
  spent = 0,
): PolledList => {
  const servers = [...entries].sort(byId);
  return { version: versionOfServers(servers, spent), atUs, servers, digest: digestOfServers(servers), floorUs, spent };
};

/** The join of two polled lists: commutative, associative and idempotent. The version never decreases. */
export const mergeLists = (left: PolledList, right: PolledList): PolledList => {
  const floorUs = Math.max(left.floorUs, right.floorUs);
  const entries = new Map<string, ListedServer>();
  for (const server of [...left.servers, ...right.servers]) {
    const known = entries.get(server.id);
    entries.set(server.id, known === undefined ? server : mergeServers(known, server));
  }
  const kept = [...entries.values()].filter((server) => !isDropped(server, floorUs));
  const merged = polledListOf(kept, Math.max(left.atUs, right.atUs), floorUs, Math.max(left.spent, right.spent));
  const shortfall = Math.max(left.version, right.version) - merged.version;
  return shortfall <= 0 ? merged : { ...merged, version: merged.version + shortfall, spent: merged.spent + shortfall };
};

/** How long a tombstone is retained, on the fleet's clock. */
export const tombstoneRetentionUs: Micros = 600_000_000;

/** Removes the tombstones that have expired at the list's `atUs`. Their contribution to the version moves to `spent`. */
export const dropExpiredTombstones = (list: PolledList): PolledList => {
  const floorUs = Math.max(list.floorUs, list.atUs - tombstoneRetentionUs);
  const dropped = list.servers.filter((server) => isDropped(server, floorUs));
  if (dropped.length === 0) return list;
  return polledListOf(
    list.servers.filter((server) => !dropped.includes(server)),
    list.atUs,
    floorUs,
    list.spent + dropped.reduce((sum, server) => sum + versionContributionOf(server), 0),
  );
};
