import type { ControlMessage } from './message.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import type { Replica } from './replica.js';
import { isVoter, lastIndexOf, lastTermOf, votersOf } from './log-reading.js';
import { appendCommand, newProgress, otherMembersOf } from './replication.js';
import { drawElectionDeadline, becomeFollower, changeRole } from './roles.js';
import { electionTimeoutUs, heartbeatIntervalUs } from './timing.js';

/** Votes are counted by the candidate's own newest members, committed or not, whatever the granting machines know of them. */
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
  const leadingStep = changeRole(replica, {
    role: 'leader',
    leader: replica.identity,
    leadsSinceUs: replica.atUs,
    heartbeatUs: replica.atUs + heartbeatIntervalUs,
    partialSnapshot: undefined,
    progress: new Map(otherMembersOf(replica).map((identity) => [identity, newProgress(replica)])),
    reads: [],
    pendingRequests: new Map(),
  });
  return andThen(leadingStep, (leadingReplica) => appendCommand(leadingReplica, { type: 'start-term' }, undefined));
};

/** Stands for election in a new term, of which the vote for itself is kept first. */
export const startElection = (replica: Replica, chance: number): ControlStep => {
  const term = replica.term + 1;
  const standing = changeRole(
    { ...replica, term, votedFor: replica.identity },
    {
      role: 'candidate',
      leader: undefined,
      votes: new Set([replica.identity]),
      electionUs: drawElectionDeadline(replica, chance),
    },
  );
  const kept: ControlStep = {
    replica: standing.replica,
    effects: [{ type: 'persist', record: { type: 'vote', term, votedFor: replica.identity } }, ...standing.effects],
  };
  return andThen(kept, (standingReplica) =>
    isMajority(standingReplica, standingReplica.votes)
      ? becomeLeader(standingReplica)
      : requestVotes(standingReplica, 'vote', term),
  );
};

/**
 * Pre-vote: asks first whether an election could be won, which disturbs nobody. A machine that its newest members entry
 * doesn't name as a voter never stands: whoever holds the entry that promotes it has the longer log and stands instead.
 */
export const startPreVote = (replica: Replica, chance: number): ControlStep => {
  if (!isVoter(replica, replica.identity))
    return stepOf({ ...replica, electionUs: drawElectionDeadline(replica, chance) });
  const feeling = changeRole(replica, {
    role: 'pre-candidate',
    leader: undefined,
    votes: new Set([replica.identity]),
    electionUs: drawElectionDeadline(replica, chance),
  });
  return andThen(feeling, (feelingReplica) =>
    isMajority(feelingReplica, feelingReplica.votes)
      ? startElection(feelingReplica, chance)
      : requestVotes(feelingReplica, 'preVote', feelingReplica.term + 1),
  );
};

/** The election restriction, from which leader completeness follows: no vote for a log that ends earlier than the own. */
const isUpToDate = (replica: Replica, lastIndex: number, lastTerm: number): boolean =>
  lastTerm > lastTermOf(replica) || (lastTerm === lastTermOf(replica) && lastIndex >= lastIndexOf(replica));

/**
 * Pre-vote: granted by log and silence of the leader alone. Whether the granting machine is a voter is counted by the
 * candidate, since the entry that makes this machine a voter may not have reached it yet.
 */
export const onPreVoteRequest = (
  replica: Replica,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'preVote' }>,
): ControlStep => {
  const hearsLeader = replica.role === 'leader' || replica.atUs < replica.leaderContactUs + electionTimeoutUs;
  const granted =
    !hearsLeader && message.term > replica.term && isUpToDate(replica, message.lastIndex, message.lastTerm);
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

/** Grants one vote a term by the log alone, also as a machine that is no voter by its own log; persisted before it is said. */
export const onVoteRequest = (
  replica: Replica,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'vote' }>,
  chance: number,
): ControlStep => {
  const isFree = replica.votedFor === undefined || replica.votedFor === from;
  const granted = message.term === replica.term && isFree && isUpToDate(replica, message.lastIndex, message.lastTerm);
  const reply = {
    type: 'send' as const,
    to: from,
    message: { type: 'voteReply' as const, term: replica.term, granted },
  };
  return granted
    ? stepOf(
        { ...replica, votedFor: from, electionUs: drawElectionDeadline(replica, chance) },
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
  const votedReplica = { ...replica, votes };
  return isMajority(replica, votes) ? becomeLeader(votedReplica) : stepOf(votedReplica);
};
