import type { Micros } from '../../common/micros.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import { serverKeyOf } from '../../servers/list/server-key.js';
import type { ServiceType } from '../../setup/document/service-type.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Warmup } from '../../setup/document/warmup.js';
import type { Booking } from './booking.js';

/** When the server's prefix cache was last empty: its first listing, or its last change of model weights. */
export const cacheStartUsOf = (server: ListedServer): Micros => Math.max(server.listedAtUs, server.weightsAtUs ?? 0);

/** The warm-up settings in force at a platform time. */
export const warmupAt = (record: SetupRecord, atUs: Micros): Warmup =>
  record.epochs.findLast((epoch) => epoch.sinceUs <= atUs)?.warmup ?? record.epochs[0]?.warmup ?? record.setup.warmup;

/** How long a warm-up takes: the slots of each range, at most the configured bound. */
export const warmupLengthUsOf = (warmup: Warmup): Micros =>
  Math.min(warmup.boundUs, warmup.prefixesPerRange * warmup.paceUs);

const byListing = (left: ListedServer, right: ListedServer): number =>
  cacheStartUsOf(left) - cacheStartUsOf(right) || (left.id < right.id ? -1 : 1);

/**
 * Every booking of one service, a pure function of configuration and server list. Bookings are ordered by first listing
 * and then by id, so a later listing never moves an entry moment. Overlapping bookings end one after another, each no later
 * than its own bound. Servers listed within one warm-up length of the first enter the ring at once, since there is no warm
 * cache yet to protect. Removing a server from the list can only make the first listing later, so an entry moment that has
 * passed is never revoked.
 */
export const bookingsOf = (
  record: SetupRecord,
  servers: readonly ListedServer[],
  service: string,
  type: ServiceType,
): readonly Booking[] => {
  const serviceServers = servers.filter((server) => server.service === service).sort(byListing);
  const firstUs = serviceServers[0] === undefined ? 0 : cacheStartUsOf(serviceServers[0]);
  const bootstrapEndUs = firstUs + warmupLengthUsOf(warmupAt(record, firstUs));
  const bookings: Booking[] = [];
  for (const server of serviceServers) {
    const sinceUs = cacheStartUsOf(server);
    const warmup = warmupAt(record, sinceUs);
    const entersAtOnce = type === 'web' || sinceUs <= bootstrapEndUs;
    const startUs = Math.max(sinceUs, bookings[bookings.length - 1]?.entryUs ?? sinceUs);
    const entryUs = entersAtOnce ? sinceUs : Math.min(startUs + warmupLengthUsOf(warmup), sinceUs + warmup.boundUs);
    bookings.push({ key: serverKeyOf(server), server, sinceUs, entryUs, warmup });
  }
  return bookings;
};
