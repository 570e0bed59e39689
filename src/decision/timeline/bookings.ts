import type { Micros } from '../../common/micros.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import { serverKeyOf } from '../../servers/list/server-key.js';
import type { ServiceType } from '../../setup/document/service-type.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Warmup } from '../../setup/document/warmup.js';
import type { Booking } from './booking.js';

/** When what a server remembers began: its first listing, or its last change of weights. */
export const sinceOf = (server: ListedServer): Micros => Math.max(server.listedAtUs, server.weightsAtUs ?? 0);

/** The figures that were in force on the time line at a moment. */
export const warmupAt = (record: SetupRecord, atUs: Micros): Warmup =>
  record.epochs.findLast((epoch) => epoch.sinceUs <= atUs)?.warmup ?? record.epochs[0]?.warmup ?? record.setup.warmup;

/** How long a booking lasts: every range's slots, or the bound if that is less. */
export const lengthOf = (warmup: Warmup): Micros => Math.min(warmup.boundUs, warmup.prefixesPerRange * warmup.paceUs);

const byListing = (left: ListedServer, right: ListedServer): number =>
  sinceOf(left) - sinceOf(right) || (left.id < right.id ? -1 : 1);

/**
 * Every booking of one service, a pure function of setup and list. Bookings stand in the order of their
 * first listing, and of id where that is the same, so a later listing never moves an entry moment.
 * Overlapping bookings end one after another, each no later than its own bound. Those that are listed within one
 * booking's length of the first open the ring at once, since there is nothing warm yet to protect. When any server is
 * taken off the list, the first listing can only become later, so an entry that has passed never comes undone.
 */
export const bookingsOf = (
  record: SetupRecord,
  servers: readonly ListedServer[],
  service: string,
  type: ServiceType,
): readonly Booking[] => {
  const bookedServers = servers.filter((server) => server.service === service).sort(byListing);
  const firstUs = bookedServers[0] === undefined ? 0 : sinceOf(bookedServers[0]);
  const foundingEndUs = firstUs + lengthOf(warmupAt(record, firstUs));
  const madeBookings: Booking[] = [];
  for (const server of bookedServers) {
    const sinceUs = sinceOf(server);
    const warmup = warmupAt(record, sinceUs);
    const opensRing = type === 'web' || sinceUs <= foundingEndUs;
    const startUs = Math.max(sinceUs, madeBookings[madeBookings.length - 1]?.entryUs ?? sinceUs);
    const entryUs = opensRing ? sinceUs : Math.min(startUs + lengthOf(warmup), sinceUs + warmup.boundUs);
    madeBookings.push({ key: serverKeyOf(server), server, sinceUs, entryUs, warmup });
  }
  return madeBookings;
};
