import type { ControlMessage } from './message.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import type { Replica } from './replica.js';
import { isVoter, lastIndexOf, lastTermOf, votersOf } from './log-queries.js';
import { appendCommand, initialProgress, otherMemberIdentities } from './replication.js';
import { randomElectionDeadline, becomeFollower, changeRole } from './roles.js';
import { electionTimeoutUs, heartbeatIntervalUs } from './parameters.js';

/**
 * Counts votes by the last membership in the candidate's log, committed or not; the memberships of the granters don't
 * matter.
 */
const isMajority = (replica: Replica, votes: ReadonlySet<string>): boolean => {
  const voters = votersOf(replica);
  return voters.filter((voter) => votes.has(voter.identity)).length * 2 > voters.length;
};

const requestVotes = (replica: Replica, type: 'preVote' | 'vote', term: number): ControlStep =>
  stepOf(
    replica,
    ...votersOf(replica)
      .filter((voter) => voter.identity !== replica.identity)
      .map((voter) => ({
        type: 'send' as const,
        to: voter.identity,
        message: { type, term, lastIndex: lastIndexOf(replica), lastTerm: lastTermOf(replica) },
      })),
  );

const becomeLeader = (replica: Replica): ControlStep => {
  const leaderStep = changeRole(replica, {
    role: 'leader',
    leader: replica.identity,
    leaderSinceUs: replica.atUs,
    nextHeartbeatUs: replica.atUs + heartbeatIntervalUs,
    partialSnapshot: undefined,
    progress: new Map(otherMemberIdentities(replica).map((identity) => [identity, initialProgress(replica)])),
    reads: [],
    pendingRequests: new Map(),
  });
  return andThen(leaderStep, (leaderReplica) => appendCommand(leaderReplica, { type: 'start-term' }, undefined));
};

/** Becomes a candidate in a new term. The vote for itself is persisted before vote requests are sent. */
export const startElection = (replica: Replica, chance: number): ControlStep => {
  const term = replica.term + 1;
  const candidacy = changeRole(
    { ...replica, term, votedFor: replica.identity },
    {
      role: 'candidate',
      leader: undefined,
      votes: new Set([replica.identity]),
      electionDeadlineUs: randomElectionDeadline(replica, chance),
    },
  );
  const persistedStep: ControlStep = {
    replica: candidacy.replica,
    effects: [{ type: 'persist', record: { type: 'vote', term, votedFor: replica.identity } }, ...candidacy.effects],
  };
  return andThen(persistedStep, (candidate) =>
    isMajority(candidate, candidate.votes) ? becomeLeader(candidate) : requestVotes(candidate, 'vote', term),
  );
};

/**
 * Starts a pre-vote (Raft): finds out whether an election could be won, without a new term that would depose a leader.
 * A node that is not a voter by the last membership in its own log never starts one: a node that holds the entry which
 * promotes it has the longer log and starts one instead.
 */
export const startPreVote = (replica: Replica, chance: number): ControlStep => {
  if (!isVoter(replica, replica.identity))
    return stepOf({ ...replica, electionDeadlineUs: randomElectionDeadline(replica, chance) });
  const preCandidacy = changeRole(replica, {
    role: 'pre-candidate',
    leader: undefined,
    votes: new Set([replica.identity]),
    electionDeadlineUs: randomElectionDeadline(replica, chance),
  });
  return andThen(preCandidacy, (preCandidate) =>
    isMajority(preCandidate, preCandidate.votes)
      ? startElection(preCandidate, chance)
      : requestVotes(preCandidate, 'preVote', preCandidate.term + 1),
  );
};

/** Raft's election restriction: no vote for a candidate whose log is behind. Leader completeness follows from it. */
const isUpToDate = (replica: Replica, lastIndex: number, lastTerm: number): boolean =>
  lastTerm > lastTermOf(replica) || (lastTerm === lastTermOf(replica) && lastIndex >= lastIndexOf(replica));

/**
 * Grants a pre-vote if the candidate's log is up to date and no leader has been in contact for an election timeout. A
 * learner grants it too, since the entry that promotes it may not have arrived yet; the candidate counts voters only.
 */
export const onPreVoteRequest = (
  replica: Replica,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'preVote' }>,
): ControlStep => {
  const hasLeaderContact = replica.role === 'leader' || replica.atUs < replica.leaderContactUs + electionTimeoutUs;
  const granted =
    !hasLeaderContact && message.term > replica.term && isUpToDate(replica, message.lastIndex, message.lastTerm);
  return stepOf(replica, {
    type: 'send',
    to: from,
    message: { type: 'preVoteReply', term: replica.term, granted, forTerm: message.term },
  });
};

export const onPreVoteReply = (
  replica: Replica,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'preVoteReply' }>,
  chance: number,
): ControlStep => {
  if (message.term > replica.term) return becomeFollower(replica, message.term, undefined, chance);
  if (replica.role !== 'pre-candidate' || !message.granted || message.forTerm !== replica.term + 1)
    return stepOf(replica);
  const votes = new Set([...replica.votes, from]);
  return isMajority(replica, votes) ? startElection(replica, chance) : stepOf({ ...replica, votes });
};

/**
 * Grants one vote per term, to a candidate whose log is up to date, and persists it before the reply is sent. A learner
 * grants it too, since the entry that promotes it may not have arrived yet; the candidate counts voters only.
 */
export const onVoteRequest = (
  replica: Replica,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'vote' }>,
  chance: number,
): ControlStep => {
  const hasNoOtherVote = replica.votedFor === undefined || replica.votedFor === from;
  const granted =
    message.term === replica.term && hasNoOtherVote && isUpToDate(replica, message.lastIndex, message.lastTerm);
  const reply = {
    type: 'send' as const,
    to: from,
    message: { type: 'voteReply' as const, term: replica.term, granted },
  };
  return granted
    ? stepOf(
        { ...replica, votedFor: from, electionDeadlineUs: randomElectionDeadline(replica, chance) },
        { type: 'persist', record: { type: 'vote', term: replica.term, votedFor: from } },
        reply,
      )
    : stepOf(replica, reply);
};

export const onVoteReply = (
  replica: Replica,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'voteReply' }>,
): ControlStep => {
  if (replica.role !== 'candidate' || !message.granted || message.term !== replica.term) return stepOf(replica);
  const votes = new Set([...replica.votes, from]);
  const afterVote = { ...replica, votes };
  return isMajority(replica, votes) ? becomeLeader(afterVote) : stepOf(afterVote);
};
