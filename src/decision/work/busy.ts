import type { Micros } from '../../common/micros.js';
import type { PersistentMap } from '../../common/persistent-map.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { DecisionView } from '../machine/view/decision-view.js';
import type { Prefix } from '../ring/prefix.js';
import { isCold } from '../machine/step/warmth.js';
import type { Work } from './work.js';

/** Until when each server reads what it was given, as far as this node knows: its own exchanges and those it was told of. */
export type Busy = PersistentMap<ServerKey, Micros>;

/** Tokens that a server reads in a second until the service's own rate has been seen. */
const startRate = 50_000;
const leastRate = 2_000;
const mostRate = 5_000_000;
const rateWeight = 0.2;
const leastSampleTokens = 3_000;
const mostSampleWaitUs: Micros = 10_000;
const overheadUs: Micros = 20_000;

export const rateOf = (view: DecisionView, service: string): number => view.rates.get(service) ?? startRate;

export const readUsOf = (view: DecisionView, service: string, tokens: number): Micros =>
  Math.round((tokens * 1_000_000) / rateOf(view, service));

export const waitUsOf = (view: DecisionView, server: ServerKey): Micros =>
  Math.max(0, (view.busy.get(server) ?? 0) - view.atUs);

/** The tokens of a work that a server does not hold yet, as far as this node knows. */
export const toReadAt = (view: DecisionView, server: ServerKey, work: Work): number => {
  let held = 0;
  for (const level of work.levels) {
    if (isCold(view, server, level.prefix)) break;
    held = level.tokens;
  }
  return Math.max(0, work.readTokens - held);
};

export const withReading = (view: DecisionView, server: ServerKey, service: string, tokens: number): DecisionView => ({
  ...view,
  busy: view.busy.set(server, Math.max(view.atUs, view.busy.get(server) ?? 0) + readUsOf(view, service, tokens)),
});

/** What the first piece of an exchange that met an idle server tells of the rate of its service. */
export const withRateSample = (
  view: DecisionView,
  sample: { readonly service: string; readonly tokens: number; readonly waitUs: Micros; readonly tookUs: Micros },
): DecisionView => {
  if (sample.tokens < leastSampleTokens || sample.waitUs > mostSampleWaitUs) return view;
  const seen = Math.min(
    mostRate,
    Math.max(leastRate, (sample.tokens * 1_000_000) / Math.max(1_000, sample.tookUs - overheadUs)),
  );
  const known = view.rates.get(sample.service);
  return {
    ...view,
    rates: view.rates.set(sample.service, known === undefined ? seen : known + (seen - known) * rateWeight),
  };
};

/** The prefixes that a server holds once it has read an exchange. */
export const prefixesOf = (prefix: Prefix, work: Work | undefined): readonly Prefix[] =>
  work === undefined || work.levels.length === 0 ? [prefix] : work.levels.map((level) => level.prefix);
