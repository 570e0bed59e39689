import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Micros } from '../../src/common/micros.js';
import type { Member } from '../../src/control/members/member.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { heartbeatIntervalUs } from '../../src/control/machine/parameters.js';
import { openReplicaCluster, type ReplicaCluster } from './replica-cluster.js';

const identities = ['a', 'b', 'c'] as const;
const members: readonly Member[] = identities.map((identity) => ({ identity, address: `${identity}:1`, voter: true }));
const addresses = members.map((member) => member.address);

const follower = (identity: string, index: number): Replica => {
  const start = createReplica(identity, `${identity}:1`, addresses);
  const snapshot = { ...start.snapshot, index, term: 1, members };
  return { ...start, snapshot, commit: index, term: 1, role: 'follower' };
};

/** A cluster in which `a` and `b` have a snapshot up to index 100, and `c` has the members only. */
const openWithMemberBehind = (seed: number): ReplicaCluster => {
  const cluster = openReplicaCluster(seed, [follower('a', 100), follower('b', 100), follower('c', 1)]);
  cluster.deliver((from, to) => (from === 'c' || to === 'c' ? [] : [1_000]));
  cluster.playFor(3_000_000);
  return cluster;
};

const longestGap = (times: readonly Micros[]): Micros =>
  times.slice(1).reduce((longest, time, index) => Math.max(longest, time - (times[index] ?? time)), 0);

test('a member that waits for a slow snapshot gets a heartbeat each interval, and its replies count as contact', () => {
  const cluster = openWithMemberBehind(1);
  const leader = cluster.leader();
  assert.ok(leader !== undefined);
  cluster.deliver((_from, _to, message) => (message.type === 'installSnapshot' ? [] : [1_000]));
  const startUs = cluster.now();
  cluster.playFor(5_000_000);
  const heartbeats = cluster.sent.filter(
    ({ atUs, from, to, message }) =>
      atUs >= startUs && from === leader.identity && to === 'c' && message.type === 'append',
  );
  const gap = longestGap(heartbeats.map(({ atUs }) => atUs));
  assert.ok(heartbeats.length >= 45 && gap <= heartbeatIntervalUs + 25_000, `${heartbeats.length}, gap ${gap} us`);
  const lastContactUs = cluster.replica(leader.identity).progress.get('c')?.lastContactUs ?? 0;
  assert.ok(cluster.now() - lastContactUs <= 150_000, `last contact ${cluster.now() - lastContactUs} us ago`);
  assert.is(cluster.leader()?.term, leader.term);
});

test('a leader does not step down while only a member that still lacks its snapshot replies to heartbeats', () => {
  const cluster = openWithMemberBehind(2);
  const leader = cluster.leader();
  assert.ok(leader !== undefined);
  const other = leader.identity === 'a' ? 'b' : 'a';
  cluster.stop(other);
  cluster.deliver((_from, _to, message) => (message.type === 'installSnapshot' ? [] : [1_000]));
  cluster.playFor(10_000_000);
  assert.equal([cluster.leader()?.identity, cluster.leader()?.term], [leader.identity, leader.term]);
});

test.run();
