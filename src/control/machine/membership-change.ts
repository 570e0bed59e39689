/**
 * Raft single-server membership changes: one voter is added or removed at a time, so that any two majorities of
 * successive memberships overlap. A change starts only after the previous one and an entry of the leader's own term are
 * committed. A new member is a learner until it has caught up. A dead voter, or one that is about to stop, is removed
 * only when a caught-up learner is available and a majority of the remaining voters holds all committed entries; then
 * the learner is promoted.
 */
import type { Micros } from '../../common/micros.js';
import type { Member } from '../members/member.js';
import { stepOf, type ControlStep } from './control-step.js';
import { hasCommittedInTerm, hasUncommittedMembershipChange, lastIndexOf, membersOf, votersOf } from './log-queries.js';
import { appendCommand, initialProgress } from './replication.js';
import type { Replica } from './replica.js';
import { deadVoterTimeoutUs, electionTimeoutUs, learnerTimeoutUs } from './parameters.js';

/**
 * Whether a leader may start a membership change: an entry of its term is committed, and no change or transfer is in
 * progress.
 */
export const canChangeMembers = (replica: Replica): boolean =>
  replica.role === 'leader' &&
  replica.transferDeadlineUs === undefined &&
  !hasUncommittedMembershipChange(replica) &&
  hasCommittedInTerm(replica);

/** Appends a membership entry, which takes effect as soon as it is appended, as single-server changes require. */
export const proposeMembers = (replica: Replica, members: readonly Member[]): ControlStep => {
  const progress = new Map(
    members
      .filter((member) => member.identity !== replica.identity)
      .map((member) => [member.identity, replica.progress.get(member.identity) ?? initialProgress(replica)] as const),
  );
  return appendCommand({ ...replica, progress }, { type: 'members', members }, undefined);
};

const matchOf = (replica: Replica, member: Member): number =>
  member.identity === replica.identity ? lastIndexOf(replica) : (replica.progress.get(member.identity)?.match ?? 0);

const timeSinceContactUs = (replica: Replica, member: Member): Micros =>
  member.identity === replica.identity
    ? 0
    : replica.atUs - (replica.progress.get(member.identity)?.lastContactUs ?? replica.atUs);

/** Whether a member was in contact within an election timeout and holds all committed entries. */
const isCaughtUp = (replica: Replica, member: Member): boolean =>
  matchOf(replica, member) >= replica.commit && timeSinceContactUs(replica, member) < electionTimeoutUs;

/**
 * Whether a voter is out of contact and a caught-up learner runs at its address now, so that its disk must have been
 * lost.
 */
const isReplacedVoter = (replica: Replica, voter: Member, readyLearners: readonly Member[]): boolean =>
  timeSinceContactUs(replica, voter) >= electionTimeoutUs &&
  readyLearners.some((learner) => learner.address === voter.address);

/** Whether a voter has been out of contact for so long that it is considered dead. */
const isDeadVoter = (replica: Replica, voter: Member): boolean =>
  timeSinceContactUs(replica, voter) > deadVoterTimeoutUs;

/** Whether an unexpired notice says that a voter is about to stop. */
const isLeavingVoter = (replica: Replica, voter: Member): boolean =>
  replica.atUs < (replica.leaveNoticeExpiryUs.get(voter.identity) ?? 0);

/** Whether a majority of the remaining voters holds all committed entries, so that the removed one has no sole copy. */
const canRemoveVoter = (replica: Replica, leaving: Member): boolean => {
  const remainingVoters = votersOf(replica).filter((voter) => voter !== leaving);
  const holders = remainingVoters.filter((voter) => isCaughtUp(replica, voter));
  return holders.length * 2 > remainingVoters.length;
};

/**
 * The voter that a learner replaces: first one whose disk is lost, then one that may only be down, then one that
 * leaves.
 */
const outgoingVoterOf = (replica: Replica, readyLearners: readonly Member[]): Member | undefined => {
  const removableVoters = votersOf(replica).filter((voter) => canRemoveVoter(replica, voter));
  return (
    removableVoters.find((voter) => isReplacedVoter(replica, voter, readyLearners)) ??
    removableVoters.find((voter) => isDeadVoter(replica, voter)) ??
    removableVoters.find((voter) => isLeavingVoter(replica, voter))
  );
};

/** The members after the next change that is due; undefined if none is. */
const nextMembersOf = (replica: Replica): readonly Member[] | undefined => {
  const members = membersOf(replica);
  const voters = votersOf(replica);
  const readyLearners = members.filter((member) => !member.voter && isCaughtUp(replica, member));
  const readyLearner = readyLearners[0];
  if (readyLearner !== undefined && voters.length < replica.targetVoterCount)
    return members.map((member) => (member === readyLearner ? { ...member, voter: true } : member));
  const outgoingVoter = outgoingVoterOf(replica, readyLearners);
  if (readyLearner !== undefined && outgoingVoter !== undefined)
    return members.filter((member) => member !== outgoingVoter);
  const lostLearner = members.find((member) => !member.voter && timeSinceContactUs(replica, member) > learnerTimeoutUs);
  return lostLearner === undefined ? undefined : members.filter((member) => member !== lostLearner);
};

/** Starts the membership change that is due, if there is one and a change may start now. */
export const reconcileMembers = (replica: Replica): ControlStep => {
  if (!canChangeMembers(replica)) return stepOf(replica);
  const nextMembers = nextMembersOf(replica);
  return nextMembers === undefined ? stepOf(replica) : proposeMembers(replica, nextMembers);
};
