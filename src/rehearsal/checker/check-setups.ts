import type { Micros } from '../../common/micros.js';
import type { History } from '../history/history.js';
import type { PutRecord } from '../history/setup-record.js';
import type { Finding } from './finding.js';
import { reachOf } from './reach/reach.js';
import type { Span } from './reach/span.js';

const inForceUs = 2_000_000;
const slipUs = 250_000;

/** A put that was told taken, at once or when it was asked after. */
type Taken = { readonly put: PutRecord; readonly revision: number; readonly toldUs: Micros };

const takenOf = (history: History): readonly Taken[] =>
  history.puts.flatMap((put) => {
    const told =
      put.outcome === 'taken'
        ? { revision: put.revision, toldUs: put.toldUs }
        : put.later?.outcome === 'taken'
          ? put.later
          : undefined;
    return told?.revision === undefined ? [] : [{ put, revision: told.revision, toldUs: told.toldUs }];
  });

/** Since when a node was not apart, at the latest moment before a look. */
const togetherSince = (spans: readonly Span[], fromUs: Micros, lookUs: Micros): Micros =>
  spans
    .filter((span) => span.fromUs < lookUs)
    .reduce((since, span) => Math.max(since, Math.min(span.untilUs, lookUs)), fromUs);

/** A taken setup must be in force within two seconds on every ready node that was not really apart from the core. */
export const checkInForce = (history: History): readonly Finding[] => {
  const reach = reachOf(history);
  return takenOf(history).flatMap(({ revision, toldUs }) =>
    history.watches
      .filter(
        (watch) =>
          watch.ready &&
          watch.revision < revision &&
          watch.atUs > togetherSince(reach.apart(watch.node), toldUs, watch.atUs) + inForceUs,
      )
      .slice(0, 1)
      .map((watch) => ({
        rule: 'in-force-within-two-seconds',
        detail: `${watch.node} showed revision ${watch.revision} ${Math.round((watch.atUs - toldUs) / 1000)} ms after ${revision} was taken`,
      })),
  );
};

/** No node goes back to an older setup, not over a restart either once it is ready. */
export const checkNeverBackwards = (history: History): readonly Finding[] => {
  const newestByNode = new Map<string, { readonly revision: number; readonly atUs: number }>();
  return history.watches.flatMap((watch) => {
    const newest = newestByNode.get(watch.node);
    if (newest === undefined || watch.revision > newest.revision)
      newestByNode.set(watch.node, { revision: watch.revision, atUs: watch.atUs });
    return watch.ready && newest !== undefined && watch.revision < newest.revision && watch.atUs > newest.atUs + slipUs
      ? [
          {
            rule: 'never-backwards',
            detail: `${watch.node} went from revision ${newest.revision} to ${watch.revision}`,
          },
        ]
      : [];
  });
};

/** No revision may be given twice, and none to a put that was for another one. */
export const checkOneWinner = (history: History): readonly Finding[] => {
  const taken = takenOf(history);
  const winners = new Map<number, string>();
  return taken.flatMap(({ put, revision }) => {
    const winner = winners.get(revision);
    winners.set(revision, put.proposal);
    return [
      ...(winner === undefined
        ? []
        : [{ rule: 'one-winner', detail: `revision ${revision} was given to ${winner} and ${put.proposal}` }]),
      ...(put.expected === undefined || revision === put.expected + 1
        ? []
        : [
            {
              rule: 'one-winner',
              detail: `${put.proposal} was taken as ${revision} though it was for ${put.expected}`,
            },
          ]),
    ];
  });
};

/** A setup that does not hold must be refused as such, or at least never be told taken. */
export const checkFaultyPuts = (history: History): readonly Finding[] =>
  takenOf(history)
    .filter(({ put }) => put.isFaulty)
    .map(({ put, revision }) => ({
      rule: 'invalid-never-taken',
      detail: `${put.proposal} does not hold and was taken as ${revision}`,
    }));

/** Whether a put accounts for a setup that was seen at a revision. */
const accountsFor = (put: PutRecord, revision: number, digest: string, seenUs: Micros): boolean => {
  if (put.digest !== digest || put.askedUs > seenUs) return false;
  if (put.outcome === 'taken') return put.revision === revision;
  if (put.outcome !== 'unknown') return false;
  if (put.later !== undefined) return put.later.outcome === 'taken' && put.later.revision === revision;
  return put.expected === undefined || put.expected + 1 === revision;
};

/** Whatever a node or a reading shows must be a setup that was told taken at that revision, or may have been. */
export const checkOnlyTaken = (history: History): readonly Finding[] => {
  const seen = [
    ...history.watches.map((watch) => ({ ...watch, where: watch.node, seenUs: watch.atUs })),
    ...history.reads.map((read) => ({ ...read, where: 'a reading', seenUs: read.toldUs })),
  ];
  const judged = new Set<string>();
  return seen.flatMap(({ where, revision, digest, seenUs }) => {
    if (revision === 0 || judged.has(`${revision} ${digest}`)) return [];
    if (digest !== undefined && history.puts.some((put) => accountsFor(put, revision, digest, seenUs))) {
      judged.add(`${revision} ${digest}`);
      return [];
    }
    const known = history.puts.find((put) => put.digest === digest);
    return [
      {
        rule: 'only-taken-in-force',
        detail: `${where} showed ${digest ?? 'no digest'} at revision ${revision}, ${known === undefined ? 'which nobody put' : `which is ${known.proposal} (${known.outcome})`}`,
      },
    ];
  });
};

/** A taken setup is the newest or before it in every later reading, readings never go back, and the last one holds all. */
export const checkTakenStays = (history: History): readonly Finding[] => {
  const taken = takenOf(history);
  const before = history.reads.flatMap((read) => {
    const told = [...taken, ...history.reads]
      .filter((other) => other.toldUs < read.askedUs)
      .reduce((most, other) => Math.max(most, other.revision), 0);
    return read.revision < told
      ? [{ rule: 'taken-stays', detail: `a reading gave revision ${read.revision} after ${told} was told` }]
      : [];
  });
  const lastToldUs = taken.reduce((last, { toldUs }) => Math.max(last, toldUs), 0);
  return history.reads.some((read) => read.askedUs >= lastToldUs)
    ? before
    : [
        ...before,
        {
          rule: 'taken-stays',
          detail: 'no reading came after the last setup was taken, so nothing shows that it stayed',
        },
      ];
};
