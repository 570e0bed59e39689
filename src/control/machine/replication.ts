import { withEntry } from '../../common/maps.js';
import type { Command } from '../log/command.js';
import type { LogEntry } from '../log/log-entry.js';
import { findProposalOutcome } from '../state/setup-proposals.js';
import { advanceCommit } from './commit.js';
import type { ControlEffect } from './control-effect.js';
import { andThen, forEachStep, stepOf, type ControlStep } from './control-step.js';
import { isPaused, recordSend } from './flow-control.js';
import type { Replica } from './replica.js';
import {
  entriesFrom,
  hasCommittedInTerm,
  lastIndexOf,
  membersOf,
  termAt,
  documentCharsOf,
  votersOf,
} from './log-queries.js';
import type { Progress } from './progress.js';
import { needsSnapshot, sendSnapshotPiece } from './snapshot-transfer.js';
import { maxEntriesPerAppend, maxBatchDocumentChars, initialRetransmitTimeoutUs } from './parameters.js';

export const initialProgress = (replica: Replica): Progress => ({
  next: lastIndexOf(replica) + 1,
  match: 0,
  lastContactUs: replica.atUs,
  acknowledgedRound: 0,
  pausedUntilUs: 0,
  retransmitTimeoutUs: initialRetransmitTimeoutUs,
});

/** The longest prefix of the entries whose documents fit one batch; at least one entry. */
const withinBatchLimit = (entries: readonly LogEntry[]): readonly LogEntry[] => {
  let textChars = 0;
  const end = entries.findIndex(
    (entry, offset) => (textChars += documentCharsOf(entry)) > maxBatchDocumentChars && offset > 0,
  );
  return end < 0 ? entries : entries.slice(0, end);
};

/**
 * A heartbeat: an append without entries. Its consistency check is at an index known to match; for a member that needs
 * a snapshot it is at index 0, where all logs match, so that the member replies with its own commit index.
 */
const heartbeatTo = (replica: Replica, identity: string): ControlEffect => {
  const progress = replica.progress.get(identity) ?? initialProgress(replica);
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
  const entries = withinBatchLimit(entriesFrom(replica, progress.next, maxEntriesPerAppend));
  const sentProgress = entries.length > 0 ? recordSend(progress, replica.atUs) : progress;
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

/**
 * Sends a member the entries that it lacks, or a heartbeat and a snapshot piece if the log no longer holds them. While
 * an earlier send is in flight, only the heartbeat is sent.
 */
export const sendAppend = (replica: Replica, identity: string): ControlStep => {
  const progress = replica.progress.get(identity) ?? initialProgress(replica);
  if (needsSnapshot(replica, progress))
    return andThen(stepOf(replica, heartbeatTo(replica, identity)), (afterHeartbeat) =>
      sendSnapshotPiece(afterHeartbeat, identity, progress),
    );
  return isPaused(progress, replica.atUs)
    ? stepOf(replica, heartbeatTo(replica, identity))
    : sendEntries(replica, identity, progress);
};

export const otherMemberIdentities = (replica: Replica): readonly string[] =>
  membersOf(replica)
    .map((member) => member.identity)
    .filter((identity) => identity !== replica.identity);

export const broadcastAppend = (replica: Replica): ControlStep =>
  forEachStep(stepOf(replica), otherMemberIdentities(replica), sendAppend);

/**
 * Heartbeats of a leader while its disk is busy with a sync. They are made from the last synced replica, so they
 * contain nothing that is not on disk. The caller stops them after a time limit, so that another leader can be elected.
 */
export const heartbeatsOf = (syncedReplica: Replica): readonly ControlEffect[] =>
  syncedReplica.role !== 'leader'
    ? []
    : otherMemberIdentities(syncedReplica).map((identity) => heartbeatTo(syncedReplica, identity));

/** Appends a command to the leader's log, persists it and replicates it; `requestId` is replied to after the commit. */
export const appendCommand = (replica: Replica, command: Command, requestId: string | undefined): ControlStep => {
  const entry: LogEntry = { index: lastIndexOf(replica) + 1, term: replica.term, command };
  const extendedReplica: Replica = {
    ...replica,
    entries: [...replica.entries, entry],
    pendingRequests:
      requestId === undefined ? replica.pendingRequests : withEntry(replica.pendingRequests, entry.index, requestId),
  };
  const persistedStep = stepOf(extendedReplica, { type: 'persist', record: { type: 'entries', entries: [entry] } });
  return andThen(andThen(persistedStep, broadcastAppend), advanceCommit);
};

/**
 * Answers the reads whose round a majority of the voters has acknowledged (read index). None is answered before the
 * leader has committed an entry of its own term, since its commit index may be stale until then.
 */
export const completeReads = (replica: Replica): ControlStep => {
  if (!hasCommittedInTerm(replica)) return stepOf(replica);
  const voters = votersOf(replica);
  const isConfirmed = (round: number): boolean =>
    voters.filter(
      (voter) =>
        voter.identity === replica.identity || (replica.progress.get(voter.identity)?.acknowledgedRound ?? 0) >= round,
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
