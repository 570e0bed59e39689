/**
 * Validation of join requests. The members change only after the node at the address of the join has confirmed its
 * identity in reply to the leader's last `identify` message. A delayed or duplicated join, or one of an identity that
 * is gone from the address, has no effect, and no join removes a voter.
 */
import { withEntry } from '../../common/maps.js';
import type { JoinCheck } from '../members/join-check.js';
import type { Member } from '../members/member.js';
import { forEachStep, stepOf, type ControlStep } from './control-step.js';
import { membersOf } from './log-queries.js';
import { canChangeMembers, proposeMembers } from './membership-change.js';
import type { ControlMessage } from './message.js';
import type { Replica } from './replica.js';
import { identifyTimeoutUs, joinTimeoutUs, maxJoinChecks } from './parameters.js';

type Join = Extract<ControlMessage, { readonly type: 'join' }>;
type Identify = Extract<ControlMessage, { readonly type: 'identify' }>;
type Identified = Extract<ControlMessage, { readonly type: 'identified' }>;

/**
 * Requests the identity of the node at a join's address. A term has one leader and its rounds increase, so nonces are
 * unique.
 */
const requestIdentity = (replica: Replica, join: Pick<JoinCheck, 'identity' | 'address' | 'sinceUs'>): ControlStep => {
  const round = replica.round + 1;
  const nonce = `${replica.term}.${round}`;
  const check: JoinCheck = { ...join, nonce, askedUs: replica.atUs, confirmedUs: undefined };
  return stepOf(
    { ...replica, round, joinChecks: withEntry(replica.joinChecks, join.identity, check) },
    { type: 'sendTo', address: join.address, message: { type: 'identify', nonce } },
  );
};

const forwardJoin = (replica: Replica, message: Join): ControlStep =>
  replica.leader === undefined || replica.leader === replica.identity
    ? stepOf(replica)
    : stepOf(replica, { type: 'send', to: replica.leader, message });

/**
 * A leader validates the join with the node at its address; any other node forwards it to the leader that it follows.
 */
export const onJoin = (replica: Replica, message: Join): ControlStep => {
  if (replica.role !== 'leader') return forwardJoin(replica, message);
  const isMember = membersOf(replica).some(
    (member) => member.identity === message.identity && member.address === message.address,
  );
  if (isMember || message.address === replica.address) return stepOf(replica);
  const pendingCheck = replica.joinChecks.get(message.identity);
  if (pendingCheck?.address === message.address) return stepOf(replica);
  if (pendingCheck === undefined && replica.joinChecks.size >= maxJoinChecks) return stepOf(replica);
  return requestIdentity(replica, { identity: message.identity, address: message.address, sinceUs: replica.atUs });
};

/** Replies with this node's identity and address; the nonce relates the reply to the leader's message. */
export const onIdentify = (replica: Replica, from: string, { nonce }: Identify): ControlStep =>
  stepOf(replica, {
    type: 'send',
    to: from,
    message: { type: 'identified', nonce, identity: replica.identity, address: replica.address },
  });

const withoutCheck = (replica: Replica, identity: string): Replica => {
  const joinChecks = new Map(replica.joinChecks);
  joinChecks.delete(identity);
  return { ...replica, joinChecks };
};

/**
 * Admits a confirmed node: as a learner, or in its old role if only its address changed. Other learners at its address
 * are removed.
 */
const admit = (replica: Replica, { identity, address }: JoinCheck): ControlStep => {
  const members = membersOf(replica);
  const existingMember = members.find((member) => member.identity === identity);
  const admitted: Member = { identity, address, voter: existingMember?.voter ?? false };
  const otherMembers = members.filter(
    (member) => member.identity !== identity && (member.voter || member.address !== address),
  );
  return proposeMembers(withoutCheck(replica, identity), [...otherMembers, admitted]);
};

/** Confirms a join if the reply is to the last `identify` message, in time, and has the identity of the join. */
export const onIdentified = (replica: Replica, from: string, message: Identified): ControlStep => {
  const check = replica.joinChecks.get(message.identity);
  const isConfirmed =
    replica.role === 'leader' &&
    check !== undefined &&
    from === message.identity &&
    check.nonce === message.nonce &&
    check.address === message.address &&
    replica.atUs - check.askedUs <= identifyTimeoutUs;
  if (!isConfirmed) return stepOf(replica);
  if (canChangeMembers(replica)) return admit(replica, check);
  const confirmedCheck: JoinCheck = { ...check, confirmedUs: replica.atUs };
  return stepOf({ ...replica, joinChecks: withEntry(replica.joinChecks, check.identity, confirmedCheck) });
};

const continueCheck = (replica: Replica, check: JoinCheck): ControlStep => {
  if (replica.atUs - check.sinceUs > joinTimeoutUs) return stepOf(withoutCheck(replica, check.identity));
  const isFresh = replica.atUs - check.askedUs <= identifyTimeoutUs;
  if (!isFresh) return requestIdentity(replica, check);
  return check.confirmedUs !== undefined && canChangeMembers(replica) ? admit(replica, check) : stepOf(replica);
};

/**
 * Admits nodes that were confirmed during another membership change, repeats unanswered checks, drops expired joins.
 */
export const continueJoins = (replica: Replica): ControlStep =>
  forEachStep(stepOf(replica), [...replica.joinChecks.values()], continueCheck);
