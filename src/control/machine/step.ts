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
import { checkedStep } from './invariants.js';
import { isOfRefusedCore, onProbe, findLeader, tryBootstrap } from './bootstrap.js';
import { onAppendReply, onInstallSnapshotReply, onLeaderTick, onRead } from './leader.js';
import { onIdentified, onIdentify, onJoin } from './joins.js';
import { announceLeave, onLeave } from './leave.js';
import { isVoter } from './log-reading.js';
import type { ControlMessage } from './message.js';
import { appendCommand } from './replication.js';
import { becomeFollower } from './roles.js';
import { fitsStateLimit } from './state-limit.js';
import { onResign } from './transfer.js';
import { rejoinTimeoutUs } from './timing.js';

type Claim = Extract<Command, { readonly type: 'claim' }>;

const onTick = (replica: Replica, chance: number): ControlStep => {
  if (replica.role === 'leader') return onLeaderTick(replica, chance);
  if (replica.role === 'unfounded')
    return replica.atUs >= replica.heartbeatUs ? tryBootstrap(replica, chance) : stepOf(replica);
  const isLost = replica.atUs > replica.leaderContactUs + rejoinTimeoutUs && replica.atUs >= replica.heartbeatUs;
  const soughtStep = isLost ? findLeader(replica) : stepOf(replica);
  const announcedStep = andThen(soughtStep, announceLeave);
  return replica.atUs >= replica.electionUs
    ? andThen(announcedStep, (announcedReplica) => startPreVote(announcedReplica, chance))
    : announcedStep;
};

const carriesTerm = (message: ControlMessage): message is Extract<ControlMessage, { readonly term: number }> =>
  'term' in message;

const onMessage = (replica: Replica, from: string, message: ControlMessage, chance: number): ControlStep => {
  switch (message.type) {
    case 'probe':
    case 'probeReply':
      return onProbe(replica, message, chance);
    case 'join':
      return onJoin(replica, message);
    case 'leave':
      return onLeave(replica, from, message);
    case 'identify':
      return onIdentify(replica, from, message);
    case 'identified':
      return onIdentified(replica, from, message);
    case 'preVote':
      return onPreVoteRequest(replica, from, message);
    case 'preVoteReply':
      return onPreVoteReply(replica, from, message, chance);
    case 'vote':
      return onVoteRequest(replica, from, message, chance);
    case 'voteReply':
      return onVoteReply(replica, from, message);
    case 'append':
      return isOfRefusedCore(replica, from, message.commit)
        ? stepOf(replica)
        : onAppend(replica, from, message, chance);
    case 'appendReply':
      return onAppendReply(replica, from, message, chance);
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

/** A claim that finds no room: the holder's bucket is cleaned by a release that names no exchange. */
const refuseClaim = (replica: Replica, command: Claim, requestId: string): ControlStep =>
  andThen(
    stepOf(replica, { type: 'reply', requestId, reply: { type: 'applied', outcome: { type: 'claims-full' } } }),
    (refusedReplica) => appendCommand(refusedReplica, { ...command, type: 'release', exchange: '' }, undefined),
  );

/**
 * A leader takes a command into its log, unless it is handing its leadership over or the state would then be larger than
 * a ring file holds. Any other machine names the leader it follows.
 */
const onPropose = (replica: Replica, command: Command, requestId: string): ControlStep => {
  if (replica.role !== 'leader' || replica.transferUntilUs !== undefined) {
    const leader = replica.role === 'leader' ? undefined : replica.leader;
    return stepOf(replica, { type: 'reply', requestId, reply: { type: 'not-leader', leader } });
  }
  if (fitsStateLimit(replica, command)) return appendCommand(replica, command, requestId);
  return command.type === 'claim'
    ? refuseClaim(replica, command, requestId)
    : stepOf(replica, { type: 'reply', requestId, reply: { type: 'state-full' } });
};

const dispatch = (replica: Replica, event: ControlEvent): ControlStep => {
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
      return andThen(onResign({ ...nowReplica, isLeaving: true }, event.chance), announceLeave);
  }
};

/**
 * One replica: an event in, a new replica and effects out; no clock, no chance, no I/O of its own. It throws where the
 * step would break a rule of the replicated log.
 */
export const stepControl = (replica: Replica, event: ControlEvent): ControlStep =>
  checkedStep(replica, dispatch(replica, event));
