import { withEntry } from '../../common/maps.js';
import { advanceCommit } from './commit.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import { withContact, withProgressMade } from './flow-control.js';
import type { Progress } from './progress.js';
import type { Replica } from './replica.js';
import { continueJoins } from './joins.js';
import { lastIndexOf, votersOf } from './log-reading.js';
import { reconcileMembers } from './membership-change.js';
import type { ControlMessage } from './message.js';
import { completeReads, sendAppend, broadcastAppend } from './replication.js';
import { becomeFollower } from './roles.js';
import {
  needsSnapshot,
  sendSnapshotPiece,
  withFinishedTransfer,
  withPieceReply,
  withTransferMoved,
} from './snapshot-transfer.js';
import { continueTransfer } from './transfer.js';
import { leaderSilenceUs, heartbeatIntervalUs } from './timing.js';

type AppendBack = Extract<ControlMessage, { readonly type: 'appendReply' }>;

type PieceReply = Extract<ControlMessage, { readonly type: 'installSnapshotReply' }>;

/** The next index to send: behind what matches, or further back after a rejection of entries. */
const nextIndexAfter = (replica: Replica, progress: Progress, message: AppendBack): number => {
  if (message.matches) return Math.max(progress.match, message.index) + 1;
  if (needsSnapshot(replica, progress)) return progress.next;
  return Math.max(progress.match + 1, Math.min(progress.next - 1, message.index + 1));
};

/** What a member holds by its own word; may commit, answer reads, and end a transfer of the leadership. */
export const onAppendReply = (replica: Replica, from: string, message: AppendBack, chance: number): ControlStep => {
  const progress = replica.progress.get(from);
  if (replica.role !== 'leader' || progress === undefined || message.term !== replica.term) return stepOf(replica);
  const contacted = withContact(progress, message.round, replica.atUs);
  const match = message.matches ? Math.max(progress.match, message.index) : progress.match;
  const next = nextIndexAfter(replica, progress, message);
  const hasMoved = match !== progress.match || next !== progress.next;
  const moved = hasMoved ? withTransferMoved(withProgressMade(contacted), replica.atUs) : contacted;
  const heardReplica = { ...replica, progress: withEntry(replica.progress, from, { ...moved, match, next }) };
  const committedStep = advanceCommit(heardReplica);
  const answeredStep = andThen(committedStep, completeReads);
  const sentStep = andThen(answeredStep, (committedReplica) => {
    const answeredReplica = withFinishedTransfer(committedReplica, from);
    return answeredReplica.role === 'leader' && hasMoved && next <= lastIndexOf(answeredReplica)
      ? sendAppend(answeredReplica, from)
      : stepOf(answeredReplica);
  });
  return andThen(sentStep, (sentReplica) => continueTransfer(sentReplica, chance));
};

/** The acknowledgement of a snapshot piece asks for the next one, and counts as word from the member. */
export const onInstallSnapshotReply = (replica: Replica, from: string, message: PieceReply): ControlStep => {
  const heardReplica = withPieceReply(replica, from, message);
  const progress = heardReplica.progress.get(from);
  if (heardReplica === replica || progress === undefined) return stepOf(replica);
  return andThen(completeReads(heardReplica), (answeredReplica) =>
    needsSnapshot(answeredReplica, progress)
      ? sendSnapshotPiece(answeredReplica, from, progress)
      : stepOf(answeredReplica),
  );
};

export const onRead = (replica: Replica, requestId: string, proposal: string | undefined): ControlStep => {
  if (replica.role !== 'leader')
    return stepOf(replica, { type: 'reply', requestId, reply: { type: 'not-leader', leader: replica.leader } });
  const round = replica.round + 1;
  const askedReplica = {
    ...replica,
    round,
    reads: [...replica.reads, { requestId, proposal, round, index: replica.commit }],
  };
  return andThen(broadcastAppend(askedReplica), completeReads);
};

const hearsMajority = (replica: Replica): boolean => {
  const voters = votersOf(replica);
  const heardVoters = voters.filter(
    (voter) =>
      voter.identity === replica.identity ||
      replica.atUs - (replica.progress.get(voter.identity)?.heardUs ?? 0) < leaderSilenceUs,
  );
  return heardVoters.length * 2 > voters.length;
};

const beat = (replica: Replica): ControlStep => {
  const heartbeatUs = replica.atUs + heartbeatIntervalUs;
  const sentStep = broadcastAppend({ ...replica, round: replica.round + 1, heartbeatUs });
  const joinedStep = andThen(sentStep, continueJoins);
  const reconciledStep = andThen(joinedStep, reconcileMembers);
  return andThen(reconciledStep, completeReads);
};

/** A leader's tick: it steps down without a majority in touch, and else beats, cares for members and answers reads. */
export const onLeaderTick = (replica: Replica, chance: number): ControlStep => {
  if (!hearsMajority(replica)) return becomeFollower(replica, replica.term, undefined, chance);
  const transferStep = continueTransfer(replica, chance);
  return transferStep.replica.role !== 'leader' || replica.atUs < replica.heartbeatUs
    ? transferStep
    : andThen(transferStep, beat);
};
