import type { TroubleRecord } from '../../history/trouble-record.js';
import type { Cut } from './cut.js';
import type { Outage } from './outage.js';

/** The cuts and outages of a history, each with its time. */
export type Troubles = { readonly cuts: readonly Cut[]; readonly outages: readonly Outage[] };

const never = Number.POSITIVE_INFINITY;

/** Folds what was done, in order, into spans of time. */
export const troublesOf = (records: readonly TroubleRecord[]): Troubles => {
  const cuts: Cut[] = [];
  const outages: Outage[] = [];
  const openCuts = new Map<string, Cut>();
  const openOutages = new Map<string, Outage>();
  for (const record of records)
    switch (record.type) {
      case 'cut': {
        const key = `${record.from}>${record.to}`;
        if (!openCuts.has(key))
          openCuts.set(key, { from: record.from, to: record.to, fromUs: record.atUs, untilUs: never });
        break;
      }
      case 'heal':
        for (const cut of openCuts.values()) cuts.push({ ...cut, untilUs: record.atUs });
        openCuts.clear();
        break;
      case 'begins': {
        const key = `${record.who} ${record.what}`;
        if (!openOutages.has(key))
          openOutages.set(key, { who: record.who, what: record.what, fromUs: record.atUs, untilUs: never });
        break;
      }
      case 'ends': {
        const key = `${record.who} ${record.what}`;
        const outage = openOutages.get(key);
        if (outage !== undefined) outages.push({ ...outage, untilUs: record.atUs });
        openOutages.delete(key);
      }
    }
  return { cuts: [...cuts, ...openCuts.values()], outages: [...outages, ...openOutages.values()] };
};
