/**
 * The fence around joins. A join only tells a leader where to ask: the members change when that address itself has
 * answered this leader's newest question with the identity that lives there now. A join that is late, doubled or of a
 * former life of the address goes unanswered, and no join removes a voter.
 */
import { withEntry } from '../../common/maps.js';
import type { JoinCheck } from '../members/join-check.js';
import type { Member } from '../members/member.js';
import { forEachStep, stepOf, type ControlStep } from './control-step.js';
import { membersOf } from './log-reading.js';
import { mayChangeMembers, proposeMembers } from './membership-change.js';
import type { ControlMessage } from './message.js';
import type { Replica } from './replica.js';
import { identifyTimeoutUs, joinTimeoutUs, maxJoinChecks } from './timing.js';

type Join = Extract<ControlMessage, { readonly type: 'join' }>;
type Identify = Extract<ControlMessage, { readonly type: 'identify' }>;
type Identified = Extract<ControlMessage, { readonly type: 'identified' }>;

/** Asks the address of a join who lives there. Terms have one leader and its rounds rise, so no nonce comes twice. */
const askAddress = (replica: Replica, join: Pick<JoinCheck, 'identity' | 'address' | 'sinceUs'>): ControlStep => {
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

/** A leader checks a join with the address it names; any other machine passes it on to the leader it follows. */
export const onJoin = (replica: Replica, message: Join): ControlStep => {
  if (replica.role !== 'leader') return forwardJoin(replica, message);
  const isKnown = membersOf(replica).some(
    (member) => member.identity === message.identity && member.address === message.address,
  );
  if (isKnown || message.address === replica.address) return stepOf(replica);
  const pendingCheck = replica.joinChecks.get(message.identity);
  if (pendingCheck?.address === message.address) return stepOf(replica);
  if (pendingCheck === undefined && replica.joinChecks.size >= maxJoinChecks) return stepOf(replica);
  return askAddress(replica, { identity: message.identity, address: message.address, sinceUs: replica.atUs });
};

/** Any machine says who it is and where; the leader that asked knows its question by the nonce. */
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

/** Takes a confirmed machine in: as a learner, or as what it was when it only moved. Former learners of its address go. */
const admit = (replica: Replica, { identity, address }: JoinCheck): ControlStep => {
  const members = membersOf(replica);
  const knownMember = members.find((member) => member.identity === identity);
  const admitted: Member = { identity, address, voter: knownMember?.voter ?? false };
  const otherMembers = members.filter(
    (member) => member.identity !== identity && (member.voter || member.address !== address),
  );
  return proposeMembers(withoutCheck(replica, identity), [...otherMembers, admitted]);
};

/** Confirms a join when the answer is to the newest question, in time, and bears the identity that joined. */
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
  if (mayChangeMembers(replica)) return admit(replica, check);
  const confirmedCheck: JoinCheck = { ...check, confirmedUs: replica.atUs };
  return stepOf({ ...replica, joinChecks: withEntry(replica.joinChecks, check.identity, confirmedCheck) });
};

const continueCheck = (replica: Replica, check: JoinCheck): ControlStep => {
  if (replica.atUs - check.sinceUs > joinTimeoutUs) return stepOf(withoutCheck(replica, check.identity));
  const isFresh = replica.atUs - check.askedUs <= identifyTimeoutUs;
  if (!isFresh) return askAddress(replica, check);
  return check.confirmedUs !== undefined && mayChangeMembers(replica) ? admit(replica, check) : stepOf(replica);
};

/** Admits what has been confirmed while another change ran, asks again what went unanswered, drops what is too old. */
export const continueJoins = (replica: Replica): ControlStep =>
  forEachStep(stepOf(replica), [...replica.joinChecks.values()], continueCheck);
