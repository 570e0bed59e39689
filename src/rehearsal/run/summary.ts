import type { CallEnd } from '../history/call-record.js';
import type { RehearsalEnd } from './rehearse.js';

const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

/** The figures of a rehearsal, for people and for notes. */
export const summaryOf = ({ history, findings, servers }: RehearsalEnd) => {
  const ends: Partial<Record<CallEnd, number>> = {};
  for (const call of history.calls) ends[call.end] = (ends[call.end] ?? 0) + 1;
  const waits = history.calls
    .flatMap((call) => (call.firstPieceUs === undefined ? [] : [call.firstPieceUs - call.startUs]))
    .sort((left, right) => left - right);
  const errors: Record<string, number> = {};
  for (const call of history.calls) if (call.error !== undefined) errors[call.error] = (errors[call.error] ?? 0) + 1;
  return {
    calls: history.calls.length,
    ends,
    errors,
    runs: history.runs.length,
    coldRuns: history.runs.filter((run) => run.cold).length,
    firstPieceMillis: {
      half: Math.round(percentile(waits, 0.5) / 1000),
      most95: Math.round(percentile(waits, 0.95) / 1000),
      most99: Math.round(percentile(waits, 0.99) / 1000),
    },
    setups: history.puts.map((put) => `${put.proposal}: ${put.outcome}`),
    servers,
    findings,
  };
};
