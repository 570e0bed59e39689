import { lastIndexOf } from '../../src/control/machine/log-queries.js';
import type { Replica } from '../../src/control/machine/replica.js';
import type { Member } from '../../src/control/members/member.js';
import { recovered, type Cluster } from './cluster.js';

type Configuration = { readonly index: number; readonly members: readonly Member[] };

/** What the disks that are left hold. */
const survivorsOf = (cluster: Cluster): readonly Replica[] =>
  cluster.machines.flatMap((machine) => (machine.isGone ? [] : [machine.replica ?? recovered(cluster, machine)]));

const committedConfiguration = ({ history }: Cluster): Configuration | undefined =>
  history.committed
    .flatMap(({ index, command }) => (command.type === 'members' ? [{ index, members: command.members }] : []))
    .at(-1);

/** The committed configuration, and every one that stands in a log behind it. */
const configurationsOf = (cluster: Cluster): readonly Configuration[] => {
  const committed = committedConfiguration(cluster);
  if (committed === undefined) return [];
  const pending = survivorsOf(cluster)
    .flatMap(({ entries }) => entries)
    .flatMap(({ index, command }) =>
      command.type === 'members' && index > committed.index ? [{ index, members: command.members }] : [],
    );
  return [committed, ...pending];
};

/** Since when, by the committed log, an identity has been a voter without a break. */
const voterSince = ({ history }: Cluster, identity: string): number => {
  const configurations = history.committed.flatMap(({ index, command }) =>
    command.type === 'members' ? [{ index, members: command.members }] : [],
  );
  return configurations.reduce((since, { index, members }) => {
    const isVoter = members.some((member) => member.identity === identity && member.voter);
    return isVoter ? Math.min(since, index) : Number.POSITIVE_INFINITY;
  }, Number.POSITIVE_INFINITY);
};

/** A replacement stands for a lost disk once it holds all that was there before it became a voter. */
const isCaughtUp = (cluster: Cluster, identity: string): boolean => {
  const since = voterSince(cluster, identity);
  const replica = survivorsOf(cluster).find((survivor) => survivor.identity === identity);
  return replica !== undefined && Number.isFinite(since) && lastIndexOf(replica) >= since - 1;
};

/**
 * Whether one more disk may go: in the committed configuration and in every later one, the voters that are lost or have
 * not caught up must stay a minority. Beyond that the replicated log promises nothing.
 */
export const mayLoseDisk = (cluster: Cluster, identity: string): boolean => {
  const configurations = configurationsOf(cluster);
  return (
    configurations.length > 0 &&
    configurations.every(({ members }) => {
      const voters = members.filter((member) => member.voter);
      const lostVoters = voters.filter((voter) => voter.identity === identity || !isCaughtUp(cluster, voter.identity));
      return lostVoters.length * 2 < voters.length;
    })
  );
};
