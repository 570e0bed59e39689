import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Micros } from '../../src/common/micros.js';
import type { Command } from '../../src/control/log/command.js';
import type { Snapshot } from '../../src/control/log/snapshot.js';
import type { Member } from '../../src/control/members/member.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { maxBatchDocumentChars, maxSnapshotPieceChars } from '../../src/control/machine/parameters.js';
import { recoverReplica } from '../../src/control/persistence/recovery.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { maxClaims } from '../../src/control/state/claims.js';
import { emptyReplicatedState, type ReplicatedState } from '../../src/control/state/replicated-state.js';
import { encodeSnapshotText } from '../../src/control/wire/snapshot-text.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import { openReplicaCluster, type Delivery, type ReplicaCluster } from './replica-cluster.js';

const second: Micros = 1_000_000;
const identities = ['a', 'b', 'c'] as const;
const members: readonly Member[] = identities.map((identity) => ({ identity, address: `${identity}:1`, voter: true }));
const largeTextChars = 1 << 20;

const stateWithClaims = (count: number): ReplicatedState => {
  let state = emptyReplicatedState;
  for (let index = 0; index < count; index += 1) {
    const key = `label-copy-rewrite/00000000-0000-4000-8000-${String(index).padStart(12, '0')}`;
    state = applyCommand(state, { type: 'claim', key, exchange: `router-9.0123abcd.c${index}`, atUs: 1 }).state;
  }
  return state;
};

const setupOf = (version: number): Command => ({
  type: 'setup',
  proposal: `p${version}`,
  expected: version - 1,
  setup: sampleSetup(`change-${version}`),
  original: { version, text: version % 40 === 0 ? 'é'.repeat(largeTextChars / 2) : `version = ${version}` },
  atUs: 1,
});

const replicaAt = (identity: string, snapshot: Snapshot): Replica => ({
  ...createReplica(
    identity,
    `${identity}:1`,
    members.map((member) => member.address),
  ),
  snapshot,
  commit: snapshot.index,
  state: snapshot.state,
  term: 1,
  role: 'follower',
});

const clusterWith = (seed: number, state: ReplicatedState): ReplicaCluster => {
  const full: Snapshot = { index: 100, term: 1, members, state };
  const initial: Snapshot = { index: 1, term: 1, members, state: emptyReplicatedState };
  return openReplicaCluster(seed, [replicaAt('a', full), replicaAt('b', full), replicaAt('c', initial)]);
};

const digestOf = (state: ReplicatedState): string =>
  encodeSnapshotText({ index: 0, term: 0, members: [], state }).digest;

const lossyDelivery: Delivery = (_from, _to, _message, chance) => {
  if (chance < 0.1) return [];
  const delayUs = 1_000 + Math.floor(chance * 40_000);
  return chance > 0.9 ? [delayUs, delayUs * 3] : [delayUs];
};

const payloadChars = (message: ControlMessage): number => {
  if (message.type === 'installSnapshot') return message.piece.length;
  if (message.type !== 'append') return 0;
  return message.entries.reduce(
    (sum, { command }) => sum + (command.type === 'setup' ? (command.original?.text.length ?? 0) : 0),
    0,
  );
};

const commitSetups = (cluster: ReplicaCluster, count: number, intervalUs: Micros): void => {
  for (let index = 0; index < count; index += 1) {
    const version = (cluster.leader()?.state.record?.original?.version ?? 0) + 1;
    cluster.propose(setupOf(version));
    cluster.playFor(intervalUs);
  }
};

/** The time that a member takes to reach the commit index that the leader had at the time of the call. */
const measureCatchUpUs = (cluster: ReplicaCluster, identity: string, limitUs: Micros): Micros => {
  const startUs = cluster.now();
  const target = cluster.leader()?.commit ?? Number.POSITIVE_INFINITY;
  while (cluster.replica(identity).commit < target && cluster.now() - startUs < limitUs) cluster.playFor(50_000);
  return cluster.now() - startUs;
};

const assertSameStates = (cluster: ReplicaCluster): void => {
  const expected = cluster.leader();
  assert.ok(expected !== undefined);
  for (const identity of identities) {
    const replica = cluster.replica(identity);
    assert.is(replica.commit, expected.commit, identity);
    assert.is(digestOf(replica.state), digestOf(expected.state), identity);
  }
};

const assertRecoversAt = (cluster: ReplicaCluster, identity: string): void => {
  const start = createReplica(identity, `${identity}:1`, []);
  const recovered = recoverReplica(start, cluster.records(identity));
  const expected = cluster.stateAt(recovered.commit);
  assert.ok(expected !== undefined, `no replica has applied index ${recovered.commit}`);
  assert.is(digestOf(recovered.state), digestOf(expected), `${identity} at ${recovered.commit}`);
};

const limitUs: Micros = 20 * second;

test('a member that missed 1,000 setups, some of 1 MB, and 100,000 claims catches up over a lossy network', () => {
  const cluster = clusterWith(11, stateWithClaims(maxClaims));
  cluster.stop('c');
  cluster.playFor(3 * second);
  commitSetups(cluster, 1_000, 5_000);
  assert.is(cluster.leader()?.state.record?.original?.version, 1_000);
  cluster.restart('c');
  cluster.deliver(lossyDelivery);
  const tookUs = measureCatchUpUs(cluster, 'c', limitUs);
  assert.ok(tookUs < limitUs, `not caught up after ${tookUs} us`);
  cluster.deliver(() => [1_000]);
  cluster.playFor(second);
  assertSameStates(cluster);
  assertRecoversAt(cluster, 'c');
  const pieces = cluster.sent.filter(({ message }) => message.type === 'installSnapshot');
  assert.ok(pieces.length > 50, `${pieces.length} pieces`);
  for (const { message } of cluster.sent)
    assert.ok(payloadChars(message) <= (message.type === 'append' ? maxBatchDocumentChars : maxSnapshotPieceChars));
});

test('an empty member catches up while setups are committed, the log is compacted and the leader changes', () => {
  for (let seed = 20; seed < 22; seed += 1) {
    const cluster = clusterWith(seed, stateWithClaims(20_000));
    cluster.stop('c');
    cluster.playFor(3 * second);
    cluster.restart('c', true);
    cluster.deliver(lossyDelivery);
    commitSetups(cluster, 60, 10_000);
    const previousLeader = cluster.leader()?.identity;
    assert.ok(previousLeader !== undefined);
    cluster.stop(previousLeader);
    cluster.playFor(second);
    cluster.restart(previousLeader);
    cluster.playFor(3 * second);
    commitSetups(cluster, 100, 10_000);
    const tookUs = measureCatchUpUs(cluster, 'c', limitUs);
    assert.ok(tookUs < limitUs, `seed ${seed}: not caught up after ${tookUs} us`);
    cluster.deliver(() => [1_000]);
    cluster.playFor(2 * second);
    assertSameStates(cluster);
    for (const identity of ['b', 'c']) assertRecoversAt(cluster, identity);
  }
});

test('a member on a slow link catches up while setups are committed, and the leader does not change', () => {
  const cluster = clusterWith(31, stateWithClaims(20_000));
  cluster.stop('c');
  cluster.playFor(3 * second);
  const leader = cluster.leader();
  assert.ok(leader !== undefined);
  let linkFreeUs = 0;
  cluster.deliver((_from, to, message) => {
    if (to !== 'c') return [1_000];
    linkFreeUs = Math.max(linkFreeUs, cluster.now()) + payloadChars(message);
    return [linkFreeUs - cluster.now() + 1_000];
  });
  cluster.restart('c');
  commitSetups(cluster, 200, 100_000);
  const tookUs = measureCatchUpUs(cluster, 'c', limitUs);
  assert.ok(tookUs < limitUs, `not caught up after ${tookUs} us`);
  assert.equal([cluster.leader()?.identity, cluster.leader()?.term], [leader.identity, leader.term]);
});

test.run();
