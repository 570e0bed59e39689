import { membersOf, votersOf } from '../../src/control/machine/log-queries.js';
import type { Replica } from '../../src/control/machine/replica.js';
import { broke, hear, leaderPlace, playFor, start, type Cluster } from './cluster.js';

/** Virtual time after the last fault within which the core must work again: 50 s in rounds of 25 ms. */
const healingRounds = 2_000;
const roundsPerTry = 40;

const liveReplicas = (cluster: Cluster): readonly Replica[] =>
  cluster.machines.flatMap(({ replica }) => (replica === undefined ? [] : [replica]));

/** Whether every machine that runs is a member, and holds and has applied the same log as the leader. */
const hasConverged = (cluster: Cluster): boolean => {
  const place = leaderPlace(cluster);
  const leader = place === undefined ? undefined : cluster.machines[place]?.replica;
  if (leader === undefined) return false;
  const members = membersOf(leader);
  const replicas = liveReplicas(cluster);
  const wantedVoters = Math.min(replicas.length, leader.targetVoterCount);
  return (
    votersOf(leader).filter((voter) => replicas.some(({ identity }) => identity === voter.identity)).length >=
      wantedVoters &&
    replicas.every(
      (replica) =>
        replica.commit === leader.commit &&
        replica.leader === leader.identity &&
        members.some((member) => member.identity === replica.identity && member.address === replica.address),
    )
  );
};

const isDecided = (cluster: Cluster, key: string): boolean =>
  cluster.history.committed.some(({ command }) => command.type === 'claim' && command.key === key);

const proposeLast = (cluster: Cluster, key: string): Cluster => {
  const place = leaderPlace(cluster);
  if (place === undefined) return cluster;
  const at = cluster.machines[place]?.clockUs ?? 0;
  return hear(cluster, place, {
    type: 'propose',
    at,
    requestId: `last-${cluster.steps}`,
    command: { type: 'claim', key, exchange: key, atUs: at },
  });
};

const shapeOf = (cluster: Cluster): string =>
  cluster.machines
    .map(({ identity, isGone, replica }) =>
      replica === undefined
        ? `${identity} ${isGone ? 'lost' : 'down'}`
        : `${identity} ${replica.role} term ${replica.term} commit ${replica.commit} ` +
          `members ${membersOf(replica)
            .map((member) => `${member.identity}${member.voter ? '' : ' (learner)'}`)
            .join('+')}`,
    )
    .join('; ');

/**
 * Heals everything: machines that are down start from their disks, messages arrive, clocks go on. Disks that are gone stay
 * gone. Within a bound a leader must be elected, a new proposal be committed, and all machines that run be members
 * that hold the same log.
 */
export const convergence = (cluster: Cluster): Cluster => {
  const key = 'after-healing';
  let reached = cluster.machines.reduce<Cluster>((started, _, place) => start(started, place), {
    ...cluster,
    lateFrames: [],
  });
  for (let round = 0; round < healingRounds; round += roundsPerTry) {
    if (!isDecided(reached, key)) reached = proposeLast(reached, key);
    reached = playFor(reached, roundsPerTry, (played) => isDecided(played, key) && hasConverged(played));
    if (reached.broken.length > 0) return reached;
    if (isDecided(reached, key) && hasConverged(reached)) return reached;
  }
  if (leaderPlace(reached) === undefined) return broke(reached, `no leader after healing: ${shapeOf(reached)}`);
  return isDecided(reached, key)
    ? broke(reached, `no convergence after healing: ${shapeOf(reached)}`)
    : broke(reached, `no commit after healing: ${shapeOf(reached)}`);
};
