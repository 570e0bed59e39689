import { countRefusals } from '../checker/check-refusals.js';
import type { CallEnd, CallRecord } from '../history/call-record.js';
import type { History } from '../history/history.js';
import type { RehearsalEnd } from './rehearse.js';

const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

const inMillis = (sorted: readonly number[], share: number): number => Math.round(percentile(sorted, share) / 1000);

const joinSpanUs = 40_000_000;

const waitsOf = (calls: readonly CallRecord[]): readonly number[] =>
  calls
    .flatMap((call) => (call.firstPieceUs === undefined ? [] : [call.firstPieceUs - call.startUs]))
    .sort((left, right) => left - right);

/** How a join went: prefills made anew, how many of them twice, and how long first pieces took meanwhile. */
const joinsOf = (history: History) =>
  history.joins.map(({ server, atUs }) => {
    const runs = history.runs.filter((run) => run.server === server && run.atUs < atUs + joinSpanUs);
    const coldRuns = runs.filter((run) => history.coldCalls.has(`${run.call}@${run.server}`));
    const landed = new Set(runs.map((run) => run.call));
    const landedWaits = waitsOf(history.calls.filter((call) => landed.has(call.call)));
    const allWaits = waitsOf(history.calls.filter((call) => call.startUs > atUs && call.startUs < atUs + joinSpanUs));
    return {
      server,
      runs: runs.length,
      coldPrefills: coldRuns.length,
      repeatedPrefills: coldRuns.length - new Set(coldRuns.map((run) => run.opening)).size,
      landedMillis: {
        half: inMillis(landedWaits, 0.5),
        most95: inMillis(landedWaits, 0.95),
        most99: inMillis(landedWaits, 0.99),
      },
      allMillis: { half: inMillis(allWaits, 0.5), most95: inMillis(allWaits, 0.95), most99: inMillis(allWaits, 0.99) },
    };
  });

/** The figures of a rehearsal, for people and for notes. */
export const summaryOf = ({ history, findings, servers, serviceOf }: RehearsalEnd) => {
  const ends: Partial<Record<CallEnd, number>> = {};
  for (const call of history.calls) ends[call.end] = (ends[call.end] ?? 0) + 1;
  const waits = waitsOf(history.calls);
  const errors: Record<string, number> = {};
  for (const call of history.calls) if (call.error !== undefined) errors[call.error] = (errors[call.error] ?? 0) + 1;
  return {
    calls: history.calls.length,
    ends,
    errors,
    refusals: countRefusals(history, serviceOf),
    runs: history.runs.length,
    coldRuns: history.coldCalls.size,
    joins: joinsOf(history),
    firstPieceMillis: {
      half: inMillis(waits, 0.5),
      most95: inMillis(waits, 0.95),
      most99: inMillis(waits, 0.99),
    },
    setups: history.puts.map((put) => `${put.proposal}: ${put.outcome}`),
    servers,
    findings,
  };
};
