import { withEntry } from '../../common/maps.js';
import { advanceCommit } from './commit.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import { recordContact, recordProgress } from './flow-control.js';
import type { Progress } from './progress.js';
import type { Replica } from './replica.js';
import { continueJoins } from './joins.js';
import { lastIndexOf, votersOf } from './log-queries.js';
import { reconcileMembers } from './membership-change.js';
import type { ControlMessage } from './message.js';
import { completeReads, sendAppend, broadcastAppend } from './replication.js';
import { becomeFollower } from './roles.js';
import {
  needsSnapshot,
  sendSnapshotPiece,
  clearFinishedTransfer,
  recordPieceReply,
  recordTransferProgress,
} from './snapshot-transfer.js';
import { continueTransfer } from './transfer.js';
import { checkQuorumTimeoutUs, heartbeatIntervalUs } from './parameters.js';

type AppendReply = Extract<ControlMessage, { readonly type: 'appendReply' }>;

type PieceReply = Extract<ControlMessage, { readonly type: 'installSnapshotReply' }>;

/** The next index to send: after the last match, or further back if the consistency check failed. */
const nextIndexAfter = (replica: Replica, progress: Progress, message: AppendReply): number => {
  if (message.matches) return Math.max(progress.match, message.index) + 1;
  if (needsSnapshot(replica, progress)) return progress.next;
  return Math.max(progress.match + 1, Math.min(progress.next - 1, message.index + 1));
};

/** Handles the reply to an append: may move the commit index, complete reads, and complete a leadership transfer. */
export const onAppendReply = (replica: Replica, from: string, message: AppendReply, chance: number): ControlStep => {
  const progress = replica.progress.get(from);
  if (replica.role !== 'leader' || progress === undefined || message.term !== replica.term) return stepOf(replica);
  const afterContact = recordContact(progress, message.round, replica.atUs);
  const match = message.matches ? Math.max(progress.match, message.index) : progress.match;
  const next = nextIndexAfter(replica, progress, message);
  const hasMoved = match !== progress.match || next !== progress.next;
  const updated = hasMoved ? recordTransferProgress(recordProgress(afterContact), replica.atUs) : afterContact;
  const afterReply = { ...replica, progress: withEntry(replica.progress, from, { ...updated, match, next }) };
  const commitStep = advanceCommit(afterReply);
  const readStep = andThen(commitStep, completeReads);
  const sendStep = andThen(readStep, (afterReads) => {
    const afterCompletion = clearFinishedTransfer(afterReads, from);
    return afterCompletion.role === 'leader' && hasMoved && next <= lastIndexOf(afterCompletion)
      ? sendAppend(afterCompletion, from)
      : stepOf(afterCompletion);
  });
  return andThen(sendStep, (afterSend) => continueTransfer(afterSend, chance));
};

/** Handles the acknowledgement of a snapshot piece, which counts as contact: sends the next piece. */
export const onInstallSnapshotReply = (replica: Replica, from: string, message: PieceReply): ControlStep => {
  const afterReply = recordPieceReply(replica, from, message);
  const progress = afterReply.progress.get(from);
  if (afterReply === replica || progress === undefined) return stepOf(replica);
  return andThen(completeReads(afterReply), (afterReads) =>
    needsSnapshot(afterReads, progress) ? sendSnapshotPiece(afterReads, from, progress) : stepOf(afterReads),
  );
};

/**
 * Starts a linearizable read by Raft's read index: it is answered once a majority has acknowledged a heartbeat round
 * that began after the read arrived.
 */
export const onRead = (replica: Replica, requestId: string, proposal: string | undefined): ControlStep => {
  if (replica.role !== 'leader')
    return stepOf(replica, { type: 'reply', requestId, reply: { type: 'not-leader', leader: replica.leader } });
  const round = replica.round + 1;
  const waitingReplica = {
    ...replica,
    round,
    reads: [...replica.reads, { requestId, proposal, round, index: replica.commit }],
  };
  return andThen(broadcastAppend(waitingReplica), completeReads);
};

const hasQuorumContact = (replica: Replica): boolean => {
  const voters = votersOf(replica);
  const contactedVoters = voters.filter(
    (voter) =>
      voter.identity === replica.identity ||
      replica.atUs - (replica.progress.get(voter.identity)?.lastContactUs ?? 0) < checkQuorumTimeoutUs,
  );
  return contactedVoters.length * 2 > voters.length;
};

const sendHeartbeats = (replica: Replica): ControlStep => {
  const nextUs = replica.atUs + heartbeatIntervalUs;
  const sendStep = broadcastAppend({ ...replica, round: replica.round + 1, nextHeartbeatUs: nextUs });
  const joinStep = andThen(sendStep, continueJoins);
  const membershipStep = andThen(joinStep, reconcileMembers);
  return andThen(membershipStep, completeReads);
};

/** A leader's tick: steps down without contact to a majority (check quorum), else sends heartbeats if they are due. */
export const onLeaderTick = (replica: Replica, chance: number): ControlStep => {
  if (!hasQuorumContact(replica)) return becomeFollower(replica, replica.term, undefined, chance);
  const transferStep = continueTransfer(replica, chance);
  return transferStep.replica.role !== 'leader' || replica.atUs < replica.nextHeartbeatUs
    ? transferStep
    : andThen(transferStep, sendHeartbeats);
};
