import type { Micros } from '../../common/micros.js';
import type { PersistentMap } from '../../common/persistent-map.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { DecisionView } from '../machine/view/decision-view.js';
import type { Prefix } from '../ring/prefix.js';
import { isCold } from '../machine/step/cached-prefixes.js';
import type { Work } from './work.js';

/** Estimated time at which each server finishes its queued prefills: those of this node, and those that others announced. */
export type PrefillEndTimes = PersistentMap<ServerKey, Micros>;

/** Prefill rate that is assumed until one was measured for the service. */
const defaultTokensPerSecond = 50_000;
const minTokensPerSecond = 2_000;
const maxTokensPerSecond = 5_000_000;
/** Weight of a new sample in the moving average. */
const sampleWeight = 0.2;
const minSampleTokens = 3_000;
const maxSampleWaitUs: Micros = 10_000;
/** Part of the time to the first piece that is not prefill. */
const overheadUs: Micros = 20_000;

/** Prefill rate of the servers of a service, in tokens per second. */
export const prefillRateOf = (view: DecisionView, service: string): number =>
  view.prefillRates.get(service) ?? defaultTokensPerSecond;

/** Estimated duration of a prefill. */
export const prefillUsOf = (view: DecisionView, service: string, tokens: number): Micros =>
  Math.round((tokens * 1_000_000) / prefillRateOf(view, service));

/** Estimated wait before a server would begin a prefill. */
export const waitUsOf = (view: DecisionView, server: ServerKey): Micros =>
  Math.max(0, (view.prefillEndTimes.get(server) ?? 0) - view.atUs);

/** The tokens of a prompt that a server has to prefill, since this node does not know them to be in its cache. */
export const uncachedTokensAt = (view: DecisionView, server: ServerKey, work: Work): number => {
  let cachedTokens = 0;
  for (const level of work.levels) {
    if (isCold(view, server, level.prefix)) break;
    cachedTokens = level.tokens;
  }
  return Math.max(0, work.readTokens - cachedTokens);
};

/** Adds a prefill to the queue of a server. */
export const withPrefill = (view: DecisionView, server: ServerKey, service: string, tokens: number): DecisionView => ({
  ...view,
  prefillEndTimes: view.prefillEndTimes.set(
    server,
    Math.max(view.atUs, view.prefillEndTimes.get(server) ?? 0) + prefillUsOf(view, service, tokens),
  ),
});

/**
 * Updates the prefill rate of a service (an exponentially weighted moving average) from the time to a first piece. Skips
 * small prompts and servers that were not idle, whose times say little about the rate.
 */
export const withRateSample = (
  view: DecisionView,
  sample: { readonly service: string; readonly tokens: number; readonly waitUs: Micros; readonly tookUs: Micros },
): DecisionView => {
  if (sample.tokens < minSampleTokens || sample.waitUs > maxSampleWaitUs) return view;
  const measured = Math.min(
    maxTokensPerSecond,
    Math.max(minTokensPerSecond, (sample.tokens * 1_000_000) / Math.max(1_000, sample.tookUs - overheadUs)),
  );
  const previous = view.prefillRates.get(sample.service);
  return {
    ...view,
    prefillRates: view.prefillRates.set(
      sample.service,
      previous === undefined ? measured : previous + (measured - previous) * sampleWeight,
    ),
  };
};

/** The prefixes in a server's cache after it has prefilled an exchange. */
export const cacheablePrefixesOf = (prefix: Prefix, work: Work | undefined): readonly Prefix[] =>
  work === undefined || work.levels.length === 0 ? [prefix] : work.levels.map((level) => level.prefix);
