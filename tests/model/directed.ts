import { membersOf } from '../../src/control/machine/log-queries.js';
import {
  deliver,
  deliverExcept,
  emptyCluster,
  leaderPlace,
  loseDisk,
  playFor,
  replace,
  start,
  type Cluster,
} from './cluster.js';
import { convergence } from './convergence.js';
import { mayLoseDisk } from './loss-rule.js';

/** Histories that are played by plan, where a random walk needs many draws to meet them. */

const foundingRounds = 160;
const changeRounds = 400;

/** A core that is founded, led and at rest. */
export const foundedCluster = (size: number): Cluster => {
  const empty = emptyCluster(size);
  const started = empty.machines.reduce<Cluster>((reached, _, place) => start(reached, place), empty);
  return playFor(started, foundingRounds, () => false);
};

const leaderOf = (cluster: Cluster) => cluster.machines[leaderPlace(cluster) ?? -1];

const isVoterOfLeader = (cluster: Cluster, identity: string): boolean => {
  const replica = leaderOf(cluster)?.replica;
  return replica !== undefined && membersOf(replica).some((member) => member.identity === identity && member.voter);
};

/** The first machine that follows. */
const followerPlace = (cluster: Cluster): number =>
  cluster.machines.findIndex((_, place) => place !== leaderPlace(cluster));

/** What came of a planned history: the cluster, and whether the plan met what it was for. */
export type Planned = { readonly cluster: Cluster; readonly isMet: boolean };

/** A replaced follower is made a voter, the entry reaches all but itself and is committed, and the leader is lost. */
export const secondLoss = (size: number): Planned => {
  const founded = foundedCluster(size);
  const place = followerPlace(founded);
  const replaced = replace(loseDisk(founded, place, true), place, false);
  const machine = replaced.machines[place];
  const isPromoted = (cluster: Cluster): boolean => isVoterOfLeader(cluster, machine?.identity ?? '');
  const promoted = playFor(replaced, changeRounds, isPromoted);
  const committed = [1, 2].reduce<Cluster>((reached) => deliverExcept(reached, machine?.address), promoted);
  const leader = leaderOf(committed);
  const isMet = leader !== undefined && isPromoted(committed) && mayLoseDisk(committed, leader.identity);
  return { cluster: convergence(loseDisk(committed, leaderPlace(committed) ?? 0, true)), isMet };
};

/** A follower's disk is lost twice; the join of the life between comes once more when the third life is a voter. */
export const lateJoin = (size: number): Planned => {
  const founded = foundedCluster(size);
  const place = followerPlace(founded);
  const replacedOnce = replace(loseDisk(founded, place, true), place, false);
  const formerIdentity = replacedOnce.machines[place]?.identity ?? '';
  const former = playFor(replacedOnce, changeRounds, (cluster) => isVoterOfLeader(cluster, formerIdentity));
  const replacedTwice = replace(
    loseDisk(
      playFor(former, changeRounds / 2, () => false),
      place,
      true,
    ),
    place,
    false,
  );
  const identity = replacedTwice.machines[place]?.identity ?? '';
  const voted = playFor(replacedTwice, changeRounds, (cluster) => isVoterOfLeader(cluster, identity));
  const rested = playFor(voted, changeRounds / 2, () => false);
  const leader = leaderOf(rested);
  const join = rested.lateFrames.find(({ message }) => message.type === 'join' && message.identity === formerIdentity);
  if (join === undefined || leader === undefined) return { cluster: rested, isMet: false };
  const late = { ...join, address: leader.address };
  return { cluster: convergence(deliver(rested, late)), isMet: isVoterOfLeader(rested, identity) };
};
