import type { Micros } from '../../common/micros.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { Service } from '../../setup/document/service.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Warmup } from '../../setup/document/warmup.js';
import { joinRanges, leaveRanges, previewRanges } from '../ring/preview.js';
import type { RingMember } from '../ring/ring-member.js';
import { ringOf, withMember, withoutMember, type Ring } from '../ring/ring.js';
import type { Booking } from './booking.js';
import { bookingsOf, warmupLengthUsOf, warmupAt } from './bookings.js';
import type { Migration } from './migration.js';
import type { ServiceTopology } from './service-topology.js';

/** The rings and migrations of all services at a platform time, and when time alone next changes them. */
export type Topology = {
  readonly services: ReadonlyMap<string, ServiceTopology>;
  readonly nextChangeUs: Micros;
};

/** When a leaving server gets no more exchanges. */
const departureUsOf = (server: ListedServer, record: SetupRecord): Micros =>
  server.state === 'leaving' && server.leavingAtUs !== undefined
    ? server.leavingAtUs + record.setup.leaving.graceUs
    : Number.POSITIVE_INFINITY;

const memberOf = (booking: Booking): RingMember => ({ key: booking.key, id: booking.server.id });

const ringOfBookings = (bookings: readonly Booking[], warmup: Warmup): Ring =>
  ringOf(bookings.map(memberOf), warmup.vnodes);

const isUp = (booking: Booking): boolean => booking.server.state === 'up';

const joinOf = (booking: Booking, before: Ring, warmup: Warmup): Migration => ({
  type: 'join',
  name: `join ${booking.server.id}`,
  key: booking.key,
  fromUs: booking.sinceUs,
  commitUs: booking.entryUs,
  settledUs: booking.entryUs + booking.warmup.settleUs,
  ranges: joinRanges(before, memberOf(booking), warmup.vnodes),
  warmup: booking.warmup,
});

/** The booked joins, each on the ring that results from the joins before it. */
const joinsOf = (booked: readonly Booking[], ring: Ring, warmup: Warmup): readonly Migration[] => {
  const joins: Migration[] = [];
  let before = ring;
  for (const booking of booked) {
    joins.push(joinOf(booking, before, warmup));
    before = withMember(before, memberOf(booking), warmup.vnodes);
  }
  return joins;
};

const leaveOf = (booking: Booking, remainingRing: Ring, record: SetupRecord, warmup: Warmup): Migration => {
  const commitUs = departureUsOf(booking.server, record);
  return {
    type: 'leave',
    name: `leave ${booking.server.id}`,
    key: booking.key,
    fromUs: booking.server.leavingAtUs ?? commitUs,
    commitUs,
    settledUs: commitUs,
    ranges: leaveRanges(remainingRing, memberOf(booking), warmup.vnodes),
    warmup,
  };
};

const rebalanceOf = (entered: readonly Booking[], record: SetupRecord, platformUs: Micros): Migration | undefined => {
  const currentEpoch = record.epochs.findLast((epoch) => epoch.sinceUs <= platformUs);
  const previousEpoch = currentEpoch && record.epochs[record.epochs.indexOf(currentEpoch) - 1];
  if (currentEpoch === undefined || previousEpoch === undefined) return undefined;
  if (currentEpoch.warmup.vnodes === previousEpoch.warmup.vnodes) return undefined;
  const warmup = currentEpoch.warmup;
  const commitUs = currentEpoch.sinceUs + warmupLengthUsOf(warmup);
  if (platformUs >= commitUs + warmup.settleUs) return undefined;
  return {
    type: 'rebalance',
    name: `rebalance to ${warmup.vnodes} vnodes`,
    key: undefined,
    fromUs: currentEpoch.sinceUs,
    commitUs,
    settledUs: commitUs + warmup.settleUs,
    ranges: previewRanges(ringOfBookings(entered, previousEpoch.warmup), ringOfBookings(entered, warmup)),
    warmup,
  };
};

const serviceTopologyAt = (
  service: Service,
  record: SetupRecord,
  list: ServerList,
  platformUs: Micros,
): ServiceTopology => {
  const bookings = bookingsOf(record, list.servers, service.name, service.type);
  const active = bookings.filter((booking) => platformUs < departureUsOf(booking.server, record));
  const entered = active.filter((booking) => booking.entryUs <= platformUs);
  const booked = active.filter((booking) => booking.entryUs > platformUs && isUp(booking));
  const rebalance = rebalanceOf(entered, record, platformUs);
  const epochWarmup = warmupAt(record, platformUs);
  const previousWarmup = record.epochs[record.epochs.findLastIndex((epoch) => epoch.sinceUs <= platformUs) - 1]?.warmup;
  const ringWarmup =
    rebalance !== undefined && platformUs < rebalance.commitUs && previousWarmup !== undefined
      ? previousWarmup
      : epochWarmup;
  const ring = ringOfBookings(entered, ringWarmup);
  const pendingJoins = joinsOf(booked, ring, ringWarmup);
  const leavingBookings = entered.filter((booking) => !isUp(booking));
  const remainingRing = leavingBookings.reduce(
    (previousRing, booking) => withoutMember(previousRing, booking.key),
    ring,
  );
  const pendingLeaves = leavingBookings.map((booking) => leaveOf(booking, remainingRing, record, ringWarmup));
  const pendingRebalance = rebalance !== undefined && platformUs < rebalance.commitUs ? [rebalance] : [];
  const settledRebalance = rebalance !== undefined && platformUs >= rebalance.commitUs ? [rebalance] : [];
  const settlingJoins = entered
    .filter((booking) => booking.entryUs > booking.sinceUs && platformUs < booking.entryUs + booking.warmup.settleUs)
    .map((booking) => joinOf(booking, withoutMember(ring, booking.key), ringWarmup));
  return {
    service: service.name,
    type: service.type,
    ring,
    pending: service.type === 'web' ? [] : [...pendingJoins, ...pendingLeaves, ...pendingRebalance],
    settling: service.type === 'web' ? [] : [...settlingJoins, ...settledRebalance],
    joining: booked.map((booking) => booking.key),
    allowed: new Set(active.map((booking) => booking.key)),
    localities: new Map(active.map((booking) => [booking.key, booking.server.locality])),
  };
};

/** All times at which the topology of a service changes, past and future. */
const changesOf = (topology: ServiceTopology, list: ServerList, record: SetupRecord): readonly Micros[] => [
  ...topology.pending.map((migration) => migration.commitUs),
  ...topology.settling.map((migration) => migration.settledUs),
  ...list.servers
    .filter((server) => server.service === topology.service)
    .map((server) => departureUsOf(server, record)),
];

/** The topology at a platform time: a pure function of configuration, server list and time. */
export const topologyAt = (record: SetupRecord, list: ServerList, platformUs: Micros): Topology => {
  const topologies = record.setup.services.map((service) => serviceTopologyAt(service, record, list, platformUs));
  const laterChanges = topologies
    .flatMap((topology) => changesOf(topology, list, record))
    .filter((changeUs) => changeUs > platformUs);
  return {
    services: new Map(topologies.map((topology) => [topology.service, topology])),
    nextChangeUs: laterChanges.reduce((earliest, changeUs) => Math.min(earliest, changeUs), Number.POSITIVE_INFINITY),
  };
};
