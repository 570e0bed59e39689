import { withEntry } from '../../common/maps.js';
import type { Command } from '../log/command.js';
import type { LogEntry } from '../log/log-entry.js';
import { findProposalOutcome } from '../state/configuration-orders.js';
import { advanceCommit } from './commit.js';
import type { ControlEffect } from './control-effect.js';
import { andThen, forEachStep, stepOf, type ControlStep } from './control-step.js';
import { isPaused, withSend } from './flow-control.js';
import type { Replica } from './replica.js';
import {
  entriesFrom,
  hasCommittedInTerm,
  lastIndexOf,
  membersOf,
  termAt,
  textCharsOf,
  votersOf,
} from './log-reading.js';
import type { Progress } from './progress.js';
import { needsSnapshot, sendSnapshotPiece } from './snapshot-transfer.js';
import { maxEntriesPerAppend, maxAppendTextChars, resendTimeoutUs } from './timing.js';

export const newProgress = (replica: Replica): Progress => ({
  next: lastIndexOf(replica) + 1,
  match: 0,
  heardUs: replica.atUs,
  heardRound: 0,
  pausedUntilUs: 0,
  retransmitTimeoutUs: resendTimeoutUs,
});

/** The first entries of some, as many as their texts allow, and one at least. */
const withinTextLimit = (entries: readonly LogEntry[]): readonly LogEntry[] => {
  let textChars = 0;
  const end = entries.findIndex((entry, place) => (textChars += textCharsOf(entry)) > maxAppendTextChars && place > 0);
  return end < 0 ? entries : entries.slice(0, end);
};

/**
 * A heartbeat without entries. It compares the logs where they are known to match; a member that needs a snapshot is
 * compared at index 0, where all logs match, so that it answers with its own commit index.
 */
const heartbeatTo = (replica: Replica, identity: string): ControlEffect => {
  const progress = replica.progress.get(identity) ?? newProgress(replica);
  const previousIndex = needsSnapshot(replica, progress) ? 0 : Math.max(progress.match, replica.snapshot.index);
  return {
    type: 'send',
    to: identity,
    message: {
      type: 'append',
      term: replica.term,
      previousIndex,
      previousTerm: termAt(replica, previousIndex) ?? 0,
      entries: [],
      commit: replica.commit,
      round: replica.round,
    },
  };
};

const sendEntries = (replica: Replica, identity: string, progress: Progress): ControlStep => {
  const previousIndex = progress.next - 1;
  const entries = withinTextLimit(entriesFrom(replica, progress.next, maxEntriesPerAppend));
  const sentProgress = entries.length > 0 ? withSend(progress, replica.atUs) : progress;
  return stepOf(
    { ...replica, progress: withEntry(replica.progress, identity, sentProgress) },
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

/** Sends one member what it lacks; a heartbeat goes in any case, also while a send is under way. */
export const sendAppend = (replica: Replica, identity: string): ControlStep => {
  const progress = replica.progress.get(identity) ?? newProgress(replica);
  if (needsSnapshot(replica, progress))
    return andThen(stepOf(replica, heartbeatTo(replica, identity)), (beatReplica) =>
      sendSnapshotPiece(beatReplica, identity, progress),
    );
  return isPaused(progress, replica.atUs)
    ? stepOf(replica, heartbeatTo(replica, identity))
    : sendEntries(replica, identity, progress);
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
    : otherMembersOf(syncedReplica).map((identity) => heartbeatTo(syncedReplica, identity));

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
  if (!hasCommittedInTerm(replica)) return stepOf(replica);
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
