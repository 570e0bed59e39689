/**
 * Leadership transfer (Raft): a leader that is about to stop refuses commands, brings one voter up to date, sends it
 * `timeoutNow` and steps down. If no voter can be brought up to date in time, it remains leader.
 */
import { stepOf, andThen, type ControlStep } from './control-step.js';
import { lastIndexOf, votersOf } from './log-queries.js';
import { sendAppend } from './replication.js';
import type { Replica } from './replica.js';
import { becomeFollower } from './roles.js';
import { electionTimeoutUs, transferTimeoutUs } from './parameters.js';

/**
 * How many election timeouts a leader that stepped down waits before an election, so that its successor is elected
 * first.
 */
const electionPauseTimeouts = 4;

/** The voter with contact within an election timeout that has most of the log. */
const successorOf = (replica: Replica): string | undefined =>
  votersOf(replica)
    .flatMap(({ identity }) => {
      const progress = replica.progress.get(identity);
      return progress === undefined || replica.atUs - progress.lastContactUs >= electionTimeoutUs
        ? []
        : [{ identity, match: progress.match }];
    })
    .sort((left, right) => right.match - left.match)[0]?.identity;

const handOver = (replica: Replica, successor: string, chance: number): ControlStep => {
  const steppingDown: Replica = { ...replica, leaderContactUs: replica.atUs };
  const followerStep = becomeFollower(steppingDown, replica.term, undefined, chance);
  return andThen(followerStep, (follower) =>
    stepOf(
      { ...follower, electionDeadlineUs: replica.atUs + electionTimeoutUs * electionPauseTimeouts },
      { type: 'send', to: successor, message: { type: 'timeoutNow', term: replica.term } },
    ),
  );
};

/** Continues a transfer: hands over once the successor has the whole log, cancels it after its deadline. */
export const continueTransfer = (replica: Replica, chance: number): ControlStep => {
  if (replica.role !== 'leader' || replica.transferDeadlineUs === undefined) return stepOf(replica);
  if (replica.atUs > replica.transferDeadlineUs) return stepOf({ ...replica, transferDeadlineUs: undefined });
  const successor = successorOf(replica);
  if (successor === undefined) return stepOf(replica);
  const match = replica.progress.get(successor)?.match ?? 0;
  return match === lastIndexOf(replica) ? handOver(replica, successor, chance) : stepOf(replica);
};

/** Starts a leadership transfer, if this replica leads and a successor is in contact. */
export const onResign = (replica: Replica, chance: number): ControlStep => {
  if (replica.role !== 'leader') return stepOf(replica);
  const successor = successorOf(replica);
  if (successor === undefined) return stepOf(replica);
  const transferring: Replica = { ...replica, transferDeadlineUs: replica.atUs + transferTimeoutUs };
  const step = continueTransfer(transferring, chance);
  return step.replica.role === 'leader' ? sendAppend(step.replica, successor) : step;
};
