import type { History } from '../history/history.js';
import type { RunRecord } from '../history/run-record.js';
import type { Finding } from './finding.js';

const groupBy = <T>(items: readonly T[], keyOf: (item: T) => string | undefined): ReadonlyMap<string, readonly T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    if (key === undefined) continue;
    const group = groups.get(key) ?? [];
    group.push(item);
    groups.set(key, group);
  }
  return groups;
};

const serversOf = (runs: readonly RunRecord[]): string =>
  runs.map((run) => `${run.server}/${run.incarnation}`).join(', ');

export const checkRunOnce = (history: History, onceKinds: ReadonlySet<string>): readonly Finding[] => {
  const onceRuns = history.runs.filter((run) => onceKinds.has(run.kind));
  return [...groupBy(onceRuns, (run) => run.work)]
    .filter(([, runs]) => runs.length > 1)
    .map(([work, runs]) => ({ rule: 'run-once', detail: `${work} ran ${runs.length} times on ${serversOf(runs)}` }));
};

export const checkRefusals = (history: History): readonly Finding[] => {
  const runsOfCall = groupBy(history.runs, (run) => run.call);
  return history.calls
    .filter((call) => call.end === 'refused')
    .flatMap((call) => [
      ...(runsOfCall.has(call.call)
        ? [{ rule: 'refused-never-runs', detail: `${call.call} was refused (${call.error}) and ran` }]
        : []),
      ...(call.retryAfter === undefined
        ? [{ rule: 'refused-with-retry-after', detail: `${call.call} was refused without Retry-After` }]
        : []),
    ]);
};

export const checkServices = (history: History): readonly Finding[] =>
  history.runs
    .filter((run) => run.askedService !== run.ownService)
    .map((run) => ({
      rule: 'allowed-service',
      detail: `${run.call} for ${run.askedService} reached ${run.server} of ${run.ownService}`,
    }));

const leaveSpanUs = 3_000_000;

export const checkLeaving = (history: History): readonly Finding[] =>
  history.leaves.flatMap((leave) =>
    history.runs
      .filter(
        (run) =>
          run.server === leave.server &&
          run.incarnation === leave.incarnation &&
          run.atUs > leave.shownUs + leaveSpanUs,
      )
      .map((run) => ({
        rule: 'leaving-gets-nothing',
        detail: `${run.call} reached ${run.server} ${Math.round((run.atUs - leave.shownUs) / 1000)} ms after it was shown as leaving`,
      })),
  );

const windowUs = 10_000_000;
const fewDozen = 36;

/** Extra tries in every window of ten seconds that begins at a try; a try that was turned away counts as well. */
export const checkExtraTries = (history: History): readonly Finding[] =>
  [...groupBy(history.tries, (made) => made.service)].flatMap(([service, tries]) => {
    const sorted = [...tries].sort((left, right) => left.atUs - right.atUs);
    const seenCalls = new Set<string>();
    const marked = sorted.map((made) => {
      const isExtra = seenCalls.has(made.call);
      seenCalls.add(made.call);
      return { atUs: made.atUs, isExtra };
    });
    let endPlace = 0;
    let firsts = 0;
    let extras = 0;
    let worst: Finding | undefined;
    for (const start of marked) {
      for (
        let next = marked[endPlace];
        next !== undefined && next.atUs < start.atUs + windowUs;
        next = marked[endPlace]
      ) {
        if (next.isExtra) extras += 1;
        else firsts += 1;
        endPlace += 1;
      }
      if (extras > firsts * 0.2 + fewDozen)
        worst ??= {
          rule: 'extra-tries',
          detail: `${service}: ${extras} extra tries beside ${firsts} first ones in ten seconds`,
        };
      if (start.isExtra) extras -= 1;
      else firsts -= 1;
    }
    return worst === undefined ? [] : [worst];
  });
