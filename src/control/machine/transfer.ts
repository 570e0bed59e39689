/**
 * Leadership transfer: a leader that is to stop takes no more commands, brings one voter up to date, tells it to stand at
 * once, and steps down. When no voter can be brought up to date in time it goes on leading.
 */
import { stepOf, andThen, type ControlStep } from './control-step.js';
import { lastIndexOf, votersOf } from './log-reading.js';
import { sendAppend } from './replication.js';
import type { Replica } from './replica.js';
import { becomeFollower } from './roles.js';
import { electionTimeoutUs, transferTimeoutUs } from './timing.js';

/** How many election timeouts a former leader waits before it stands again, so that its successor is elected first. */
const restAfterTransfer = 4;

/** The voter that was heard lately and holds most of the log. */
const successorOf = (replica: Replica): string | undefined =>
  votersOf(replica)
    .flatMap(({ identity }) => {
      const progress = replica.progress.get(identity);
      return progress === undefined || replica.atUs - progress.heardUs >= electionTimeoutUs
        ? []
        : [{ identity, match: progress.match }];
    })
    .sort((left, right) => right.match - left.match)[0]?.identity;

const handOver = (replica: Replica, successor: string, chance: number): ControlStep => {
  const restingReplica: Replica = { ...replica, leaderContactUs: replica.atUs };
  const resigned = becomeFollower(restingReplica, replica.term, undefined, chance);
  return andThen(resigned, (resignedReplica) =>
    stepOf(
      { ...resignedReplica, electionUs: replica.atUs + electionTimeoutUs * restAfterTransfer },
      { type: 'send', to: successor, message: { type: 'timeoutNow', term: replica.term } },
    ),
  );
};

/** Goes on with a transfer: hands over once the successor holds the whole log, gives it up after its time. */
export const continueTransfer = (replica: Replica, chance: number): ControlStep => {
  if (replica.role !== 'leader' || replica.transferUntilUs === undefined) return stepOf(replica);
  if (replica.atUs > replica.transferUntilUs) return stepOf({ ...replica, transferUntilUs: undefined });
  const successor = successorOf(replica);
  if (successor === undefined) return stepOf(replica);
  const match = replica.progress.get(successor)?.match ?? 0;
  return match === lastIndexOf(replica) ? handOver(replica, successor, chance) : stepOf(replica);
};

/** Begins to hand the leadership over. */
export const onResign = (replica: Replica, chance: number): ControlStep => {
  if (replica.role !== 'leader') return stepOf(replica);
  const successor = successorOf(replica);
  if (successor === undefined) return stepOf(replica);
  const resigning: Replica = { ...replica, transferUntilUs: replica.atUs + transferTimeoutUs };
  const continued = continueTransfer(resigning, chance);
  return continued.replica.role === 'leader' ? sendAppend(continued.replica, successor) : continued;
};
