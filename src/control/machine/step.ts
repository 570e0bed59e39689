import type { Command } from '../log/command.js';
import type { ControlEvent } from './control-event.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import type { Replica } from './replica.js';
import {
  startPreVote,
  onPreVoteRequest,
  onPreVoteReply,
  onVoteRequest,
  onVoteReply,
  startElection,
} from './elections.js';
import { onAppend, onInstallSnapshot } from './follower.js';
import { onProbe, findLeader, tryBootstrap } from './bootstrap.js';
import { onAppendReply, onInstallSnapshotReply, onJoin, onLeaderTick, onRead } from './leader.js';
import { isVoter, votersOf } from './log-reading.js';
import type { ControlMessage } from './message.js';
import { appendCommand } from './replication.js';
import { becomeFollower } from './roles.js';
import { fitsStateLimit } from './state-limit.js';
import { electionTimeoutUs, rejoinTimeoutUs } from './timing.js';

type Claim = Extract<Command, { readonly type: 'claim' }>;

const onTick = (replica: Replica, chance: number): ControlStep => {
  if (replica.role === 'leader') return onLeaderTick(replica, chance);
  if (replica.role === 'unfounded')
    return replica.atUs >= replica.heartbeatUs ? tryBootstrap(replica, chance) : stepOf(replica);
  const isLost = replica.atUs > replica.leaderContactUs + rejoinTimeoutUs && replica.atUs >= replica.heartbeatUs;
  const sought = isLost ? findLeader(replica) : stepOf(replica);
  return replica.atUs >= replica.electionUs
    ? andThen(sought, (soughtReplica) => startPreVote(soughtReplica, chance))
    : sought;
};

const carriesTerm = (message: ControlMessage): message is Extract<ControlMessage, { readonly term: number }> =>
  message.type !== 'probe' && message.type !== 'probeReply' && message.type !== 'join';

const onMessage = (replica: Replica, from: string, message: ControlMessage, chance: number): ControlStep => {
  switch (message.type) {
    case 'probe':
    case 'probeReply':
      return onProbe(replica, message, chance);
    case 'join':
      return onJoin(replica, message);
    case 'preVote':
      return onPreVoteRequest(replica, from, message);
    case 'preVoteReply':
      return onPreVoteReply(replica, from, message, chance);
    case 'vote':
      return onVoteRequest(replica, from, message, chance);
    case 'voteReply':
      return onVoteReply(replica, from, message);
    case 'append':
      return onAppend(replica, from, message, chance);
    case 'appendReply':
      return onAppendReply(replica, from, message);
    case 'installSnapshot':
      return onInstallSnapshot(replica, from, message, chance);
    case 'installSnapshotReply':
      return onInstallSnapshotReply(replica, from, message);
    case 'timeoutNow':
      return message.term === replica.term && isVoter(replica, replica.identity) && replica.role !== 'leader'
        ? startElection(replica, chance)
        : stepOf(replica);
  }
};

const onTermed = (replica: Replica, from: string, message: ControlMessage, chance: number): ControlStep => {
  const isAhead =
    carriesTerm(message) &&
    message.type !== 'preVote' &&
    message.type !== 'preVoteReply' &&
    message.term > replica.term;
  return isAhead && carriesTerm(message)
    ? andThen(becomeFollower(replica, message.term, undefined, chance), (followedReplica) =>
        onMessage(followedReplica, from, message, chance),
      )
    : onMessage(replica, from, message, chance);
};

/** A leader that is to stop hands its place to the voter that has most. */
const onResign = (replica: Replica, chance: number): ControlStep => {
  if (replica.role !== 'leader') return stepOf(replica);
  const heir = votersOf(replica)
    .filter((voter) => voter.identity !== replica.identity)
    .sort(
      (left, right) =>
        (replica.progress.get(right.identity)?.match ?? 0) - (replica.progress.get(left.identity)?.match ?? 0),
    )[0];
  if (heir === undefined) return stepOf(replica);
  const resigned = becomeFollower({ ...replica, leaderContactUs: replica.atUs }, replica.term, undefined, chance);
  return andThen(resigned, (resignedReplica) =>
    stepOf(
      { ...resignedReplica, electionUs: replica.atUs + electionTimeoutUs * 4 },
      { type: 'send', to: heir.identity, message: { type: 'timeoutNow', term: replica.term } },
    ),
  );
};

/** A claim that finds no room: the holder's bucket is cleaned by a release that names no exchange. */
const refuseClaim = (replica: Replica, command: Claim, requestId: string): ControlStep =>
  andThen(
    stepOf(replica, { type: 'reply', requestId, reply: { type: 'applied', outcome: { type: 'claims-full' } } }),
    (refusedReplica) => appendCommand(refusedReplica, { ...command, type: 'release', exchange: '' }, undefined),
  );

/** A leader takes a command into its log, unless the state would then be larger than a ring file holds. */
const onPropose = (replica: Replica, command: Command, requestId: string): ControlStep => {
  if (replica.role !== 'leader')
    return stepOf(replica, { type: 'reply', requestId, reply: { type: 'not-leader', leader: replica.leader } });
  if (fitsStateLimit(replica, command)) return appendCommand(replica, command, requestId);
  return command.type === 'claim'
    ? refuseClaim(replica, command, requestId)
    : stepOf(replica, { type: 'reply', requestId, reply: { type: 'state-full' } });
};

/** One core machine: an event in, a new replica and effects out; no clock, no chance, no I/O of its own. */
export const stepControl = (replica: Replica, event: ControlEvent): ControlStep => {
  const nowReplica: Replica = { ...replica, atUs: Math.max(replica.atUs, event.at) };
  switch (event.type) {
    case 'tick':
      return onTick(nowReplica, event.chance);
    case 'message':
      return onTermed(nowReplica, event.from, event.message, event.chance);
    case 'propose':
      return onPropose(nowReplica, event.command, event.requestId);
    case 'read':
      return onRead(nowReplica, event.requestId, event.proposal);
    case 'known':
      return stepOf({ ...nowReplica, knownAddresses: [...new Set([...event.seeds, ...event.addresses])] });
    case 'resign':
      return onResign(nowReplica, event.chance);
  }
};
