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
import { checkStepInvariants } from './invariants.js';
import { isFromRejectedCore, onProbe, broadcastJoin, tryBootstrap } from './bootstrap.js';
import { onAppendReply, onInstallSnapshotReply, onLeaderTick, onRead } from './leader.js';
import { onIdentified, onIdentify, onJoin } from './joins.js';
import { announceLeave, onLeave } from './leave.js';
import { isVoter } from './log-queries.js';
import type { ControlMessage } from './message.js';
import { appendCommand } from './replication.js';
import { becomeFollower } from './roles.js';
import { isWithinStateLimit } from './state-limit.js';
import { onResign } from './transfer.js';
import { rejoinTimeoutUs } from './parameters.js';

type Claim = Extract<Command, { readonly type: 'claim' }>;

const onTick = (replica: Replica, chance: number): ControlStep => {
  if (replica.role === 'leader') return onLeaderTick(replica, chance);
  if (replica.role === 'unfounded')
    return replica.atUs >= replica.nextHeartbeatUs ? tryBootstrap(replica, chance) : stepOf(replica);
  const hasLostLeader =
    replica.atUs > replica.leaderContactUs + rejoinTimeoutUs && replica.atUs >= replica.nextHeartbeatUs;
  const joinStep = hasLostLeader ? broadcastJoin(replica) : stepOf(replica);
  const leaveStep = andThen(joinStep, announceLeave);
  return replica.atUs >= replica.electionDeadlineUs
    ? andThen(leaveStep, (afterNotice) => startPreVote(afterNotice, chance))
    : leaveStep;
};

const hasTerm = (message: ControlMessage): message is Extract<ControlMessage, { readonly term: number }> =>
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
      return isFromRejectedCore(replica, from, message.commit)
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

const onMessageInTerm = (replica: Replica, from: string, message: ControlMessage, chance: number): ControlStep => {
  const hasNewerTerm =
    hasTerm(message) && message.type !== 'preVote' && message.type !== 'preVoteReply' && message.term > replica.term;
  return hasNewerTerm && hasTerm(message)
    ? andThen(becomeFollower(replica, message.term, undefined, chance), (afterTermChange) =>
        onMessage(afterTermChange, from, message, chance),
      )
    : onMessage(replica, from, message, chance);
};

/**
 * Refuses a claim at the size limit, and appends a release that names no exchange: it drops the bucket's expired
 * claims.
 */
const refuseClaim = (replica: Replica, command: Claim, requestId: string): ControlStep =>
  andThen(
    stepOf(replica, { type: 'reply', requestId, reply: { type: 'applied', outcome: { type: 'claims-full' } } }),
    (afterReply) => appendCommand(afterReply, { ...command, type: 'release', exchange: '' }, undefined),
  );

/**
 * A leader appends a command to its log, unless it is transferring its leadership or the state would exceed its size
 * limit. Any other replica replies with the leader that it follows.
 */
const onPropose = (replica: Replica, command: Command, requestId: string): ControlStep => {
  if (replica.role !== 'leader' || replica.transferDeadlineUs !== undefined) {
    const leader = replica.role === 'leader' ? undefined : replica.leader;
    return stepOf(replica, { type: 'reply', requestId, reply: { type: 'not-leader', leader } });
  }
  if (isWithinStateLimit(replica, command)) return appendCommand(replica, command, requestId);
  return command.type === 'claim'
    ? refuseClaim(replica, command, requestId)
    : stepOf(replica, { type: 'reply', requestId, reply: { type: 'state-full' } });
};

const dispatch = (replica: Replica, event: ControlEvent): ControlStep => {
  const updatedReplica: Replica = { ...replica, atUs: Math.max(replica.atUs, event.at) };
  switch (event.type) {
    case 'tick':
      return onTick(updatedReplica, event.chance);
    case 'message':
      return onMessageInTerm(updatedReplica, event.from, event.message, event.chance);
    case 'propose':
      return onPropose(updatedReplica, event.command, event.requestId);
    case 'read':
      return onRead(updatedReplica, event.requestId, event.proposal);
    case 'known':
      return stepOf({ ...updatedReplica, knownAddresses: [...new Set([...event.seeds, ...event.addresses])] });
    case 'resign':
      return andThen(onResign({ ...updatedReplica, isLeaving: true }, event.chance), announceLeave);
  }
};

/**
 * The step function of the control state machine: a replica and an event give the next replica and the effects to
 * execute. It is pure: time and random numbers come with the event. It throws if the step would violate a Raft
 * invariant.
 */
export const stepControl = (replica: Replica, event: ControlEvent): ControlStep =>
  checkStepInvariants(replica, dispatch(replica, event));
