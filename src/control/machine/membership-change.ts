/**
 * Single-server membership changes: one voter more or less at a time, so that any two majorities of neighbouring
 * configurations share a machine. The next change waits until the former one and an entry of the leader's own term are
 * committed. A newcomer is a learner until it has caught up. A dead voter, or one that is about to stop, leaves only
 * when a learner stands ready, and only when a majority of those that stay holds everything committed; then the learner is promoted.
 */
import type { Micros } from '../../common/micros.js';
import type { Member } from '../members/member.js';
import { stepOf, type ControlStep } from './control-step.js';
import { hasCommittedInTerm, hasOpenChange, lastIndexOf, membersOf, votersOf } from './log-reading.js';
import { appendCommand, newProgress } from './replication.js';
import type { Replica } from './replica.js';
import { deadMemberTimeoutUs, electionTimeoutUs, learnerTimeoutUs } from './timing.js';

/** Whether a leader may propose members: its own term has a committed entry, no change is open, and it is to stay. */
export const mayChangeMembers = (replica: Replica): boolean =>
  replica.role === 'leader' &&
  replica.transferUntilUs === undefined &&
  !hasOpenChange(replica) &&
  hasCommittedInTerm(replica);

/** Appends a members entry, which counts from its append on, as the rule of single-server changes wants it. */
export const proposeMembers = (replica: Replica, members: readonly Member[]): ControlStep => {
  const progress = new Map(
    members
      .filter((member) => member.identity !== replica.identity)
      .map((member) => [member.identity, replica.progress.get(member.identity) ?? newProgress(replica)] as const),
  );
  return appendCommand({ ...replica, progress }, { type: 'members', members }, undefined);
};

const matchOf = (replica: Replica, member: Member): number =>
  member.identity === replica.identity ? lastIndexOf(replica) : (replica.progress.get(member.identity)?.match ?? 0);

const silenceOf = (replica: Replica, member: Member): Micros =>
  member.identity === replica.identity
    ? 0
    : replica.atUs - (replica.progress.get(member.identity)?.heardUs ?? replica.atUs);

/** Whether a member was heard lately and holds all that is committed. */
const isCaughtUp = (replica: Replica, member: Member): boolean =>
  matchOf(replica, member) >= replica.commit && silenceOf(replica, member) < electionTimeoutUs;

/** Whether a voter is silent while a caught-up learner answers at its address now: its disk is gone for good. */
const isReplacedVoter = (replica: Replica, voter: Member, readyLearners: readonly Member[]): boolean =>
  silenceOf(replica, voter) >= electionTimeoutUs && readyLearners.some((learner) => learner.address === voter.address);

/** Whether a voter has been silent for so long that it is taken for dead. */
const isSilentVoter = (replica: Replica, voter: Member): boolean => silenceOf(replica, voter) > deadMemberTimeoutUs;

/** Whether a voter has just said that it is about to stop. */
const isLeavingVoter = (replica: Replica, voter: Member): boolean =>
  replica.atUs < (replica.leavingUntilUs.get(voter.identity) ?? 0);

/** Whether a majority of the voters that stay holds all that is committed, so that the leaving one has no only copy. */
const mayRemoveVoter = (replica: Replica, leaving: Member): boolean => {
  const stayingVoters = votersOf(replica).filter((voter) => voter !== leaving);
  const holders = stayingVoters.filter((voter) => isCaughtUp(replica, voter));
  return holders.length * 2 > stayingVoters.length;
};

/**
 * The voter that is to make room for a learner: one whose disk is gone, then one that may only be down, then one that is
 * about to stop.
 */
const outgoingVoterOf = (replica: Replica, readyLearners: readonly Member[]): Member | undefined => {
  const removableVoters = votersOf(replica).filter((voter) => mayRemoveVoter(replica, voter));
  return (
    removableVoters.find((voter) => isReplacedVoter(replica, voter, readyLearners)) ??
    removableVoters.find((voter) => isSilentVoter(replica, voter)) ??
    removableVoters.find((voter) => isLeavingVoter(replica, voter))
  );
};

/** The members after the next change that is due, if one is. */
const nextMembersOf = (replica: Replica): readonly Member[] | undefined => {
  const members = membersOf(replica);
  const voters = votersOf(replica);
  const readyLearners = members.filter((member) => !member.voter && isCaughtUp(replica, member));
  const readyLearner = readyLearners[0];
  if (readyLearner !== undefined && voters.length < replica.votersWanted)
    return members.map((member) => (member === readyLearner ? { ...member, voter: true } : member));
  const outgoingVoter = outgoingVoterOf(replica, readyLearners);
  if (readyLearner !== undefined && outgoingVoter !== undefined)
    return members.filter((member) => member !== outgoingVoter);
  const lostLearner = members.find((member) => !member.voter && silenceOf(replica, member) > learnerTimeoutUs);
  return lostLearner === undefined ? undefined : members.filter((member) => member !== lostLearner);
};

/** A leader's care for its members: the one change that is due, if it may be made now. */
export const reconcileMembers = (replica: Replica): ControlStep => {
  if (!mayChangeMembers(replica)) return stepOf(replica);
  const nextMembers = nextMembersOf(replica);
  return nextMembers === undefined ? stepOf(replica) : proposeMembers(replica, nextMembers);
};
