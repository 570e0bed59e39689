/**
 * Leaving in order: a voter that is told to stop says so to the leader, which gives its vote to a learner that stands by,
 * if there is one, while all others still live. Without a learner the voter keeps its vote, since it may only restart.
 */
import type { ControlMessage } from './message.js';
import { stepOf, type ControlStep } from './control-step.js';
import { withEntry } from '../../common/maps.js';
import { reconcileMembers } from './membership-change.js';
import type { Replica } from './replica.js';
import { heartbeatIntervalUs, leaveNoticeUs } from './timing.js';

type Leave = Extract<ControlMessage, { readonly type: 'leave' }>;

/** Tells the leader, again and again until the process ends, that this machine is about to stop. */
export const announceLeave = (replica: Replica): ControlStep => {
  const { leader, identity } = replica;
  const isDue = replica.isLeaving && replica.role !== 'leader' && replica.atUs >= replica.leaveAnnouncedUs;
  if (!isDue || leader === undefined || leader === identity) return stepOf(replica);
  return stepOf(
    { ...replica, leaveAnnouncedUs: replica.atUs + heartbeatIntervalUs },
    { type: 'send', to: leader, message: { type: 'leave', identity } },
  );
};

/** A leader takes note of a voter that is about to stop, for a moment: a notice that comes late means nothing. */
export const onLeave = (replica: Replica, from: string, { identity }: Leave): ControlStep => {
  if (replica.role !== 'leader' || from !== identity || identity === replica.identity) return stepOf(replica);
  const leavingUntilUs = withEntry(replica.leavingUntilUs, identity, replica.atUs + leaveNoticeUs);
  return reconcileMembers({ ...replica, leavingUntilUs });
};
