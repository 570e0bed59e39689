import type { Micros } from '../../common/micros.js';
import { hasUncommittedMembershipChange, lastIndexOf, lastTermOf, votersOf } from '../../control/machine/log-queries.js';
import type { Replica } from '../../control/machine/replica.js';
import type { CoreFleet } from './core-fleet.js';
import type { SimControl } from './sim-control.js';

const second: Micros = 1_000_000;
const lookEveryUs: Micros = 1_000;
const mostWaitUs: Micros = 2 * second;
/** The leader is lost within so long after it has begun to change the members. */
const withinUs: Micros = 12_000;
/** Messages on their way have arrived by then. */
const arrivedUs: Micros = 400_000;

/** Whether the change that is under way makes a voter of a learner. */
const addsVoter = (replica: Replica): boolean => {
  const committed = { ...replica, entries: replica.entries.filter((entry) => entry.index <= replica.commit) };
  return votersOf(replica).length > votersOf(committed).length;
};

/** Plays until the leader has begun a change of the members; none where it does not within two seconds. */
const untilChange = async (fleet: CoreFleet): Promise<SimControl | undefined> => {
  const isWanted = fleet.world.chance() < 0.7 ? addsVoter : hasUncommittedMembershipChange;
  const endUs = fleet.world.now() + mostWaitUs;
  while (fleet.world.now() < endUs) {
    const leader = fleet.leader();
    if (leader !== undefined && isWanted(leader.replica())) return leader;
    await fleet.playFor(lookEveryUs);
  }
  return undefined;
};

const byNewestLog = (left: SimControl, right: SimControl): number =>
  lastTermOf(right.replica()) - lastTermOf(left.replica()) ||
  lastIndexOf(right.replica()) - lastIndexOf(left.replica());

/** Whether a majority of the voters that the longest remaining log names is up. */
const hasMajority = (fleet: CoreFleet): boolean => {
  const upMachines = fleet.machines.filter((machine) => machine.isUp());
  const newest = [...upMachines].sort(byNewestLog)[0];
  const voters = newest === undefined ? [] : votersOf(newest.replica());
  const present = voters.filter((voter) => upMachines.some((machine) => machine.replica().identity === voter.identity));
  return present.length * 2 > voters.length;
};

/**
 * Kills the leader while a change of the members is under way. Gives the machine, and whether those that remain are
 * enough for a leader; none where no change was seen.
 */
export const killLeaderInChange = async (
  fleet: CoreFleet,
): Promise<{ readonly machine: SimControl; readonly mustWork: boolean } | undefined> => {
  const leader = await untilChange(fleet);
  if (leader === undefined) return undefined;
  await fleet.playFor(fleet.world.chance() * withinUs);
  leader.kill();
  await fleet.playFor(arrivedUs);
  return { machine: leader, mustWork: hasMajority(fleet) };
};
