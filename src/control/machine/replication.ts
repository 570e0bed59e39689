import { withEntry } from '../../common/maps.js';
import type { Command } from '../log/command.js';
import type { LogEntry } from '../log/log-entry.js';
import { findProposalOutcome } from '../state/configuration-orders.js';
import { advanceCommit } from './commit.js';
import type { ControlEffect } from './control-effect.js';
import { andThen, forEachStep, stepOf, type ControlStep } from './control-step.js';
import type { Replica } from './replica.js';
import { entriesFrom, lastIndexOf, membersOf, termAt, textCharsOf, votersOf } from './log-reading.js';
import type { Progress } from './progress.js';
import { maxEntriesPerAppend, maxAppendTextChars, resendTimeoutUs } from './timing.js';

export const newProgress = (replica: Replica): Progress => ({
  next: lastIndexOf(replica) + 1,
  match: 0,
  heardUs: replica.atUs,
  heardRound: 0,
  pausedUntilUs: 0,
});

/** The first entries of some, as many as their texts allow, and one at least. */
const withinTextLimit = (entries: readonly LogEntry[]): readonly LogEntry[] => {
  let textChars = 0;
  const end = entries.findIndex((entry, place) => (textChars += textCharsOf(entry)) > maxAppendTextChars && place > 0);
  return end < 0 ? entries : entries.slice(0, end);
};

/** Sends one machine what it lacks, or a bare heartbeat while it has word to send back. */
export const sendAppend = (replica: Replica, identity: string): ControlStep => {
  const progress = replica.progress.get(identity) ?? newProgress(replica);
  const isPaused = replica.atUs < progress.pausedUntilUs;
  if (progress.next <= replica.snapshot.index) {
    if (isPaused) return stepOf(replica);
    const pausedReplica = {
      ...replica,
      progress: withEntry(replica.progress, identity, {
        ...progress,
        pausedUntilUs: replica.atUs + resendTimeoutUs * 5,
      }),
    };
    return stepOf(pausedReplica, {
      type: 'send',
      to: identity,
      message: { type: 'installSnapshot', term: replica.term, snapshot: replica.snapshot, round: replica.round },
    });
  }
  const previousIndex = isPaused ? Math.max(progress.match, replica.snapshot.index) : progress.next - 1;
  const entries = isPaused ? [] : withinTextLimit(entriesFrom(replica, progress.next, maxEntriesPerAppend));
  const pausedUntilUs = entries.length > 0 ? replica.atUs + resendTimeoutUs : progress.pausedUntilUs;
  return stepOf(
    { ...replica, progress: withEntry(replica.progress, identity, { ...progress, pausedUntilUs }) },
    {
      type: 'send',
      to: identity,
      message: {
        type: 'append',
        term: replica.term,
        previousIndex,
        previousTerm: termAt(replica, previousIndex) ?? 0,
        entries,
        commit: replica.commit,
        round: replica.round,
      },
    },
  );
};

export const otherMembersOf = (replica: Replica): readonly string[] =>
  membersOf(replica)
    .map((member) => member.identity)
    .filter((identity) => identity !== replica.identity);

export const broadcastAppend = (replica: Replica): ControlStep =>
  forEachStep(stepOf(replica), otherMembersOf(replica), sendAppend);

/**
 * Bare heartbeats of a leader whose disk is busy: they promise nothing that is not synced. Only a disk
 * that stays busy beyond a bound lets the others elect another leader.
 */
export const heartbeatsOf = (syncedReplica: Replica): readonly ControlEffect[] =>
  syncedReplica.role !== 'leader'
    ? []
    : otherMembersOf(syncedReplica).map((identity) => {
        const previousIndex = Math.max(syncedReplica.progress.get(identity)?.match ?? 0, syncedReplica.snapshot.index);
        return {
          type: 'send',
          to: identity,
          message: {
            type: 'append',
            term: syncedReplica.term,
            previousIndex,
            previousTerm: termAt(syncedReplica, previousIndex) ?? 0,
            entries: [],
            commit: syncedReplica.commit,
            round: syncedReplica.round,
          },
        };
      });

/** A leader adds an entry, keeps it and sends it on. */
export const appendCommand = (replica: Replica, command: Command, requestId: string | undefined): ControlStep => {
  const entry: LogEntry = { index: lastIndexOf(replica) + 1, term: replica.term, command };
  const longerReplica: Replica = {
    ...replica,
    entries: [...replica.entries, entry],
    pendingRequests:
      requestId === undefined ? replica.pendingRequests : withEntry(replica.pendingRequests, entry.index, requestId),
  };
  const kept = stepOf(longerReplica, { type: 'persist', record: { type: 'entries', entries: [entry] } });
  return andThen(andThen(kept, broadcastAppend), advanceCommit);
};

/** Answers the reads that a majority has confirmed since they began. */
export const completeReads = (replica: Replica): ControlStep => {
  if (termAt(replica, replica.commit) !== replica.term) return stepOf(replica);
  const voters = votersOf(replica);
  const isConfirmed = (round: number): boolean =>
    voters.filter(
      (voter) =>
        voter.identity === replica.identity || (replica.progress.get(voter.identity)?.heardRound ?? 0) >= round,
    ).length *
      2 >
    voters.length;
  const readyReads = replica.reads.filter((read) => replica.commit >= read.index && isConfirmed(read.round));
  if (readyReads.length === 0) return stepOf(replica);
  const effects = readyReads.map((read): ControlEffect => ({
    type: 'reply',
    requestId: read.requestId,
    reply: {
      type: 'record',
      record: replica.state.record,
      outcome: read.proposal === undefined ? undefined : findProposalOutcome(replica.state, read.proposal),
    },
  }));
  return { replica: { ...replica, reads: replica.reads.filter((read) => !readyReads.includes(read)) }, effects };
};
