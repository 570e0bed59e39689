import { withEntry } from '../../common/maps.js';
import type { Member } from '../members/member.js';
import { advanceCommit } from './commit.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import { withContact, withProgressMade } from './flow-control.js';
import type { Progress } from './progress.js';
import type { Replica } from './replica.js';
import { hasOpenChange, lastIndexOf, membersOf, termAt, votersOf } from './log-reading.js';
import type { ControlMessage } from './message.js';
import { appendCommand, newProgress, completeReads, sendAppend, broadcastAppend } from './replication.js';
import { becomeFollower } from './roles.js';
import {
  needsSnapshot,
  sendSnapshotPiece,
  withFinishedTransfer,
  withPieceReply,
  withTransferMoved,
} from './snapshot-transfer.js';
import { deadMemberTimeoutUs, electionTimeoutUs, learnerTimeoutUs, heartbeatIntervalUs } from './timing.js';

type AppendBack = Extract<ControlMessage, { readonly type: 'appendReply' }>;

type PieceReply = Extract<ControlMessage, { readonly type: 'installSnapshotReply' }>;

/** The next index to send: behind what matches, or further back after a rejection of entries. */
const nextIndexAfter = (replica: Replica, progress: Progress, message: AppendBack): number => {
  if (message.matches) return Math.max(progress.match, message.index) + 1;
  if (needsSnapshot(replica, progress)) return progress.next;
  return Math.max(progress.match + 1, Math.min(progress.next - 1, message.index + 1));
};

export const onAppendReply = (replica: Replica, from: string, message: AppendBack): ControlStep => {
  const progress = replica.progress.get(from);
  if (replica.role !== 'leader' || progress === undefined || message.term !== replica.term) return stepOf(replica);
  const contacted = withContact(progress, message.round, replica.atUs);
  const match = message.matches ? Math.max(progress.match, message.index) : progress.match;
  const next = nextIndexAfter(replica, progress, message);
  const hasMoved = match !== progress.match || next !== progress.next;
  const moved = hasMoved ? withTransferMoved(withProgressMade(contacted), replica.atUs) : contacted;
  const heardReplica = { ...replica, progress: withEntry(replica.progress, from, { ...moved, match, next }) };
  return andThen(andThen(advanceCommit(heardReplica), completeReads), (committedReplica) => {
    const answeredReplica = withFinishedTransfer(committedReplica, from);
    return answeredReplica.role === 'leader' && hasMoved && next <= lastIndexOf(answeredReplica)
      ? sendAppend(answeredReplica, from)
      : stepOf(answeredReplica);
  });
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

const proposeMembers = (replica: Replica, members: readonly Member[]): ControlStep => {
  const progress = new Map(
    members
      .filter((member) => member.identity !== replica.identity)
      .map((member) => [member.identity, replica.progress.get(member.identity) ?? newProgress(replica)] as const),
  );
  return appendCommand({ ...replica, progress }, { type: 'members', members }, undefined);
};

export const mayChangeMembers = (replica: Replica): boolean =>
  replica.role === 'leader' && !hasOpenChange(replica) && termAt(replica, replica.commit) === replica.term;

export const onJoin = (replica: Replica, message: Extract<ControlMessage, { readonly type: 'join' }>): ControlStep => {
  if (replica.role !== 'leader')
    return replica.leader === undefined || replica.leader === replica.identity
      ? stepOf(replica)
      : stepOf(replica, { type: 'send', to: replica.leader, message });
  const members = membersOf(replica);
  const knownMember = members.find((member) => member.identity === message.identity);
  if (!mayChangeMembers(replica) || knownMember?.address === message.address || message.address === replica.address)
    return stepOf(replica);
  const joined: Member = { identity: message.identity, address: message.address, voter: knownMember?.voter ?? false };
  /** An identity lives and dies with its disk: whoever was at this address before is dead, however lately it was heard. */
  const livingMembers = members.filter(
    (member) => member.identity !== message.identity && member.address !== message.address,
  );
  return proposeMembers(replica, [...livingMembers, joined]);
};

/** A leader's care for the members: one safe change at a time, and never two voters in one entry. */
const reconcileMembers = (replica: Replica): ControlStep => {
  if (!mayChangeMembers(replica)) return stepOf(replica);
  const members = membersOf(replica);
  const heardUsOf = (member: Member): number => replica.progress.get(member.identity)?.heardUs ?? replica.atUs;
  const readyLearner = members.find(
    (member) =>
      !member.voter &&
      (replica.progress.get(member.identity)?.match ?? 0) >= replica.commit &&
      replica.atUs - heardUsOf(member) < electionTimeoutUs,
  );
  const deadVoter = members.find(
    (member) =>
      member.voter && member.identity !== replica.identity && replica.atUs - heardUsOf(member) > deadMemberTimeoutUs,
  );
  const forgottenLearner = members.find(
    (member) => !member.voter && replica.atUs - heardUsOf(member) > learnerTimeoutUs,
  );
  if (readyLearner !== undefined && votersOf(replica).length < replica.votersWanted)
    return proposeMembers(
      replica,
      members.map((member) => (member === readyLearner ? { ...member, voter: true } : member)),
    );
  if (readyLearner !== undefined && deadVoter !== undefined)
    return proposeMembers(
      replica,
      members.filter((member) => member !== deadVoter),
    );
  return forgottenLearner === undefined
    ? stepOf(replica)
    : proposeMembers(
        replica,
        members.filter((member) => member !== forgottenLearner),
      );
};

export const onLeaderTick = (replica: Replica, chance: number): ControlStep => {
  const voters = votersOf(replica);
  const heardVoters = voters.filter(
    (voter) =>
      voter.identity === replica.identity ||
      replica.atUs - (replica.progress.get(voter.identity)?.heardUs ?? 0) < electionTimeoutUs * 2,
  );
  if (heardVoters.length * 2 <= voters.length) return becomeFollower(replica, replica.term, undefined, chance);
  if (replica.atUs < replica.heartbeatUs) return stepOf(replica);
  const beatReplica = { ...replica, round: replica.round + 1, heartbeatUs: replica.atUs + heartbeatIntervalUs };
  return andThen(andThen(broadcastAppend(beatReplica), reconcileMembers), completeReads);
};
