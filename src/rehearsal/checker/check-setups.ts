import type { History } from '../history/history.js';
import type { Finding } from './finding.js';

const inForceUs = 2_000_000;
const slipUs = 250_000;

/** Since when nodes could reach each other, at the latest moment before a look, counted from when a setup was taken. */
const reachableSince = (history: History, toldUs: number, lookUs: number): number =>
  history.faults
    .filter((fault) => fault.name === 'cut' && fault.fromUs < lookUs)
    .reduce((since, fault) => Math.max(since, Math.min(fault.untilUs, lookUs)), toldUs);

/** A taken setup must be in force within two seconds wherever a ready node can be looked at. */
export const checkInForce = (history: History): readonly Finding[] =>
  history.puts.flatMap((put) => {
    const { revision } = put;
    if (put.outcome !== 'taken' || revision === undefined) return [];
    return history.watches
      .filter((watch) => watch.ready && watch.revision < revision && watch.atUs > reachableSince(history, put.toldUs, watch.atUs) + inForceUs)
      .slice(0, 1)
      .map((watch) => ({
        rule: 'in-force-within-two-seconds',
        detail: `${watch.node} showed revision ${watch.revision} ${Math.round((watch.atUs - put.toldUs) / 1000)} ms after ${revision} was taken`,
      }));
  });

/** No node goes back to an older setup, not over a restart either once it is ready. */
export const checkNeverBackwards = (history: History): readonly Finding[] => {
  const newestByNode = new Map<string, { readonly revision: number; readonly atUs: number }>();
  return history.watches.flatMap((watch) => {
    const newest = newestByNode.get(watch.node);
    if (newest === undefined || watch.revision > newest.revision) newestByNode.set(watch.node, { revision: watch.revision, atUs: watch.atUs });
    return watch.ready && newest !== undefined && watch.revision < newest.revision && watch.atUs > newest.atUs + slipUs
      ? [{ rule: 'never-backwards', detail: `${watch.node} went from revision ${newest.revision} to ${watch.revision}` }]
      : [];
  });
};

/** No revision may be given twice, and none to a setup that lost or was invalid. */
export const checkOutcomes = (history: History): readonly Finding[] => {
  const takenRevisions = history.puts.flatMap((put) => (put.outcome === 'taken' && put.revision !== undefined ? [put.revision] : []));
  const overtaken = history.puts.filter(
    (put) => put.outcome === 'taken' && put.expected !== undefined && put.revision !== put.expected + 1,
  );
  return [
    ...(new Set(takenRevisions).size === takenRevisions.length
      ? []
      : [{ rule: 'one-winner', detail: `a revision was given twice: ${takenRevisions.join(', ')}` }]),
    ...overtaken.map((put) => ({ rule: 'one-winner', detail: `${put.proposal} was taken as ${put.revision} though it was for ${put.expected}` })),
  ];
};
