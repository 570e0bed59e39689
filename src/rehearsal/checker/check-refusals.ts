import type { Micros } from '../../common/micros.js';
import type { CallRecord } from '../history/call-record.js';
import type { History } from '../history/history.js';
import type { Finding } from './finding.js';
import { reachOf } from './reach/reach.js';
import type { Span } from './reach/span.js';

/** How long after an outage its refusals are still put down to it. */
const graceUs: Micros = 2_000_000;

/** What a refusal may be put down to; `nothing` counts against the fleet. */
export type RefusalCause = 'core out of reach' | 'no server in reach' | 'node itself hit' | 'crowd' | 'nothing';

const overlaps = (spans: readonly Span[], call: CallRecord): boolean =>
  spans.some((span) => span.fromUs <= call.endUs && span.untilUs + graceUs >= call.startUs);

/** Every refusal with what it is put down to, judged from what was done to the world. */
export const refusalsOf = (
  history: History,
  serviceOf: (kind: string) => string,
): readonly { readonly call: CallRecord; readonly cause: RefusalCause }[] => {
  const reach = reachOf(history);
  const causeOf = (call: CallRecord): RefusalCause => {
    if (overlaps(reach.hit(call.node), call)) return 'node itself hit';
    if ((call.error === 'no-claim' || call.error === 'not-ready') && overlaps(reach.coreless(call.node), call))
      return 'core out of reach';
    if (
      (call.error === 'no-server' || call.error === 'budget-passed') &&
      overlaps(reach.serverless(call.node, serviceOf(call.kind)), call)
    )
      return 'no server in reach';
    if (call.error === 'over-pressure' && overlaps(reach.hit('callers'), call)) return 'crowd';
    return 'nothing';
  };
  return history.calls.filter((call) => call.end === 'refused').map((call) => ({ call, cause: causeOf(call) }));
};

/** Refusals by error and cause, for people. */
export const countRefusals = (
  history: History,
  serviceOf: (kind: string) => string,
): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const { call, cause } of refusalsOf(history, serviceOf)) {
    const name = `${call.error ?? 'no error'}: ${cause}`;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
};

const mostShare = 0.001;
const mostAnyway = 2;

/** Where the core and a server can be reached, hardly anything may be refused. */
export const checkFewRefusals = (history: History, serviceOf: (kind: string) => string): readonly Finding[] => {
  const unexcused = refusalsOf(history, serviceOf).filter(({ cause }) => cause === 'nothing');
  if (unexcused.length <= Math.max(mostAnyway, history.calls.length * mostShare)) return [];
  const first = unexcused
    .slice(0, 5)
    .map(
      ({ call }) =>
        `${call.call} at ${call.node} (${call.error}, ${Math.round(call.startUs / 1000)} to ${Math.round(call.endUs / 1000)} ms)`,
    );
  return [
    {
      rule: 'almost-no-refusals',
      detail: `${unexcused.length} of ${history.calls.length} calls were refused for nothing: ${first.join(', ')}`,
    },
  ];
};
