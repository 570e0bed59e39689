/**
 * Graceful leave: a voter that is about to stop notifies the leader, which replaces it by a caught-up learner, if there
 * is one, while all other voters are still up. Without a learner it remains a voter, since it may only be restarting.
 */
import type { ControlMessage } from './message.js';
import { stepOf, type ControlStep } from './control-step.js';
import { withEntry } from '../../common/maps.js';
import { reconcileMembers } from './membership-change.js';
import type { Replica } from './replica.js';
import { heartbeatIntervalUs, leaveNoticeLifetimeUs } from './parameters.js';

type Leave = Extract<ControlMessage, { readonly type: 'leave' }>;

/** Notifies the leader that this node is about to stop; repeated at each heartbeat interval until the process ends. */
export const announceLeave = (replica: Replica): ControlStep => {
  const { leader, identity } = replica;
  const isDue = replica.isLeaving && replica.role !== 'leader' && replica.atUs >= replica.nextLeaveNoticeUs;
  if (!isDue || leader === undefined || leader === identity) return stepOf(replica);
  return stepOf(
    { ...replica, nextLeaveNoticeUs: replica.atUs + heartbeatIntervalUs },
    { type: 'send', to: leader, message: { type: 'leave', identity } },
  );
};

/** Records the notice of a voter that is about to stop, which is valid for a short time only. */
export const onLeave = (replica: Replica, from: string, { identity }: Leave): ControlStep => {
  if (replica.role !== 'leader' || from !== identity || identity === replica.identity) return stepOf(replica);
  const expiryUs = withEntry(replica.leaveNoticeExpiryUs, identity, replica.atUs + leaveNoticeLifetimeUs);
  return reconcileMembers({ ...replica, leaveNoticeExpiryUs: expiryUs });
};
