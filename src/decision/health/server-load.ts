import type { Micros } from '../../common/micros.js';
import type { PersistentMap } from '../../common/persistent-map.js';
import type { ServerKey } from '../../servers/list/server-key.js';

/** The load that a server reports with a response: requests running, requests queued, and how many it runs at once. */
export type ServerLoad = { readonly running: number; readonly waiting: number; readonly slots: number };

/** A reported load and the time at which the report arrived. */
export type LoadReport = ServerLoad & { readonly atUs: Micros };

export type ServerLoads = PersistentMap<ServerKey, LoadReport>;

/** A server counts as saturated once its running and waiting requests reach this fraction of its slots. */
export const saturatedFraction = 0.85;
/** Older reports are ignored. */
export const loadReportTtlUs: Micros = 1_500_000;

export const isSaturated = ({ running, waiting, slots }: ServerLoad): boolean =>
  running + waiting >= slots * saturatedFraction;

/** Running and waiting requests as a fraction of the server's slots; undefined without a recent report. */
export const loadFractionOf = (loads: ServerLoads, server: ServerKey, nowUs: Micros): number | undefined => {
  const report = loads.get(server);
  if (report === undefined || nowUs - report.atUs >= loadReportTtlUs || report.slots <= 0) return undefined;
  return (report.running + report.waiting) / report.slots;
};

/** Whether a recent report shows the server as saturated. */
export const isServerSaturated = (loads: ServerLoads, server: ServerKey, nowUs: Micros): boolean =>
  (loadFractionOf(loads, server, nowUs) ?? 0) >= saturatedFraction;
