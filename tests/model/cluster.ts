import type { Micros } from '../../src/common/micros.js';
import { seededRandom } from '../../src/common/random.js';
import type { DurableRecord } from '../../src/control/log/durable-record.js';
import type { ControlEffect } from '../../src/control/machine/control-effect.js';
import type { ControlEvent } from '../../src/control/machine/control-event.js';
import type { ControlStep } from '../../src/control/machine/control-step.js';
import { checkLogShape } from '../../src/control/machine/invariants.js';
import { lastIndexOf, lastTermOf, membersOf } from '../../src/control/machine/log-queries.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';
import { recoverReplica, snapshotRecordsOf } from '../../src/control/persistence/recovery.js';
import { messageOf } from '../../src/common/typed-error.js';
import { observe, startHistory, type History } from './history.js';

/** A message on its way, addressed as the control task addresses it. */
export type Frame = {
  readonly from: string;
  readonly identity: string;
  /** The identity that is meant; any at the address where it is not given. */
  readonly to?: string;
  readonly address: string;
  readonly message: ControlMessage;
};

/** One machine: a replica while it runs, the records that its disk holds, and where it has heard others. */
export type Machine = {
  readonly name: string;
  readonly address: string;
  readonly identity: string;
  readonly wipes: number;
  readonly clockUs: Micros;
  readonly replica: Replica | undefined;
  readonly records: readonly DurableRecord[];
  readonly knownAddresses: ReadonlyMap<string, string>;
  /** Its disk is gone and no replacement has come. */
  readonly isGone: boolean;
};

/** Everything that the model check searches over. It never changes in place. */
export type Cluster = {
  readonly machines: readonly Machine[];
  readonly seeds: readonly string[];
  readonly votersWanted: number;
  readonly frames: readonly Frame[];
  /** Frames that a network may deliver once more, long after. */
  readonly lateFrames: readonly Frame[];
  /** Identities whose disk is gone. */
  readonly lost: ReadonlySet<string>;
  readonly history: History;
  readonly broken: readonly string[];
  readonly steps: number;
};

const maxFrames = 60;
const maxLateFrames = 8;

export const addressOf = (name: string, move = 0): string => (move === 0 ? `${name}:1` : `${name}:${move + 1}`);

const freshReplicaOf = (cluster: Pick<Cluster, 'seeds' | 'votersWanted'>, machine: Machine): Replica =>
  createReplica(machine.identity, machine.address, cluster.seeds, true, cluster.votersWanted);

const identityRecord = (identity: string): DurableRecord => ({ type: 'identity', identity, founds: true });

const freshMachine = (name: string, address: string, wipes: number, clockUs: Micros): Machine => {
  const identity = `${name}-${wipes + 1}`;
  return {
    name,
    address,
    identity,
    wipes,
    clockUs,
    replica: undefined,
    records: [identityRecord(identity)],
    knownAddresses: new Map(),
    isGone: false,
  };
};

/** Machines with empty disks, none of them started; the first of them, three at most, are the seeds. */
export const emptyCluster = (size: number): Cluster => {
  const names = ['a', 'b', 'c', 'd', 'e'].slice(0, size);
  return {
    machines: names.map((name) => freshMachine(name, addressOf(name), 0, 0)),
    seeds: names.slice(0, 3).map((name) => addressOf(name)),
    votersWanted: size,
    frames: [],
    lateFrames: [],
    lost: new Set(),
    history: startHistory,
    broken: [],
    steps: 0,
  };
};

export const withMachine = (cluster: Cluster, place: number, change: Partial<Machine>): Cluster => ({
  ...cluster,
  machines: cluster.machines.map((machine, other) => (other === place ? { ...machine, ...change } : machine)),
});

export const broke = (cluster: Cluster, ...rules: readonly string[]): Cluster =>
  rules.length === 0 ? cluster : { ...cluster, broken: [...cluster.broken, ...rules] };

export const chanceOf = (cluster: Cluster): number => seededRandom(cluster.steps * 7919 + 1)();

const observed = (cluster: Cluster, former: Replica | undefined, replica: Replica): Cluster => {
  const { history, broken } = observe(cluster.history, former, replica, cluster.lost);
  return broke({ ...cluster, history }, ...broken);
};

const frameOf = (machine: Machine, replica: Replica, effect: ControlEffect): readonly Frame[] => {
  if (effect.type === 'sendTo')
    return [{ from: machine.address, identity: replica.identity, address: effect.address, message: effect.message }];
  if (effect.type !== 'send') return [];
  const address =
    membersOf(replica).find((member) => member.identity === effect.to)?.address ??
    machine.knownAddresses.get(effect.to);
  return address === undefined
    ? []
    : [{ from: machine.address, identity: replica.identity, to: effect.to, address, message: effect.message }];
};

const withLate = (lateFrames: readonly Frame[], frames: readonly Frame[]): readonly Frame[] => {
  const joins = frames.filter(
    ({ message }) =>
      message.type === 'join' &&
      !lateFrames.some(
        (late) =>
          late.message.type === 'join' &&
          late.message.identity === message.identity &&
          late.message.address === message.address,
      ),
  );
  return joins.length === 0 ? lateFrames : [...lateFrames, ...joins].slice(-maxLateFrames);
};

export const withFrames = (cluster: Cluster, frames: readonly Frame[]): Cluster =>
  frames.length === 0
    ? cluster
    : {
        ...cluster,
        frames: [...cluster.frames, ...frames].slice(-maxFrames),
        lateFrames: withLate(cluster.lateFrames, frames),
      };

/** Keeps a frame for a second delivery at any later time. */
export const holdFrame = (cluster: Cluster, frame: Frame): Cluster => ({
  ...cluster,
  lateFrames: [...cluster.lateFrames, frame].slice(-maxLateFrames),
});

const finish = (cluster: Cluster, place: number, machine: Machine, former: Replica, step: ControlStep): Cluster => {
  const { replica, effects } = step;
  const records = effects.flatMap((effect) => (effect.type === 'persist' ? [effect.record] : []));
  const stepped = withMachine(cluster, place, {
    replica,
    records: records.length === 0 ? machine.records : [...machine.records, ...records],
  });
  const seen = observed(stepped, former, replica);
  return withFrames(
    seen,
    effects.flatMap((effect) => frameOf(machine, replica, effect)),
  );
};

const stepOrBreak = (replica: Replica, event: ControlEvent): ControlStep | string => {
  try {
    return stepControl(replica, event);
  } catch (thrown) {
    return messageOf(thrown);
  }
};

/** Gives an event to a machine that runs; its records are synced, then its messages leave. */
export const hear = (cluster: Cluster, place: number, event: ControlEvent): Cluster => {
  const machine = cluster.machines[place];
  if (machine?.replica === undefined) return cluster;
  const step = stepOrBreak(machine.replica, event);
  const counted = { ...cluster, steps: cluster.steps + 1 };
  return typeof step === 'string'
    ? broke(counted, `${machine.name}: ${step}`)
    : finish(counted, place, machine, machine.replica, step);
};

/** The machine fails after some of the records of an event are synced and before anything is sent. */
export const hearAndFail = (cluster: Cluster, place: number, event: ControlEvent, syncedCount: number): Cluster => {
  const machine = cluster.machines[place];
  if (machine?.replica === undefined) return cluster;
  const step = stepOrBreak(machine.replica, event);
  if (typeof step === 'string') return broke(cluster, `${machine.name}: ${step}`);
  const records = step.effects.flatMap((effect) => (effect.type === 'persist' ? [effect.record] : []));
  return withMachine({ ...cluster, steps: cluster.steps + 1 }, place, {
    replica: undefined,
    records: [...machine.records, ...records.slice(0, syncedCount % (records.length + 1))],
  });
};

export const fail = (cluster: Cluster, place: number): Cluster => withMachine(cluster, place, { replica: undefined });

const unlike = (former: Replica, replica: Replica): boolean =>
  former.term !== replica.term ||
  former.votedFor !== replica.votedFor ||
  lastIndexOf(former) !== lastIndexOf(replica) ||
  lastTermOf(former) !== lastTermOf(replica);

export const recovered = (cluster: Cluster, machine: Machine): Replica =>
  recoverReplica(freshReplicaOf(cluster, machine), machine.records);

/** Starts a machine from what its disk holds. */
export const start = (cluster: Cluster, place: number): Cluster => {
  const machine = cluster.machines[place];
  if (machine === undefined || machine.replica !== undefined || machine.isGone) return cluster;
  const replica = { ...recovered(cluster, machine), atUs: machine.clockUs };
  try {
    checkLogShape(replica);
  } catch (thrown) {
    return broke(cluster, `${machine.name} recovers: ${messageOf(thrown)}`);
  }
  return observed(withMachine(cluster, place, { replica, knownAddresses: new Map() }), undefined, replica);
};

/** Ends and starts a machine between two events; its disk must give back all that it has said. */
export const restart = (cluster: Cluster, place: number): Cluster => {
  const machine = cluster.machines[place];
  if (machine?.replica === undefined) return start(cluster, place);
  const isForgetful = unlike(machine.replica, recovered(cluster, machine));
  const restarted = start(fail(cluster, place), place);
  return isForgetful ? broke(restarted, `${machine.name} recovers another term, vote or log than it had`) : restarted;
};

/** The records begin anew with a snapshot of all, as when a file of the ring is full. */
export const turnFile = (cluster: Cluster, place: number): Cluster => {
  const replica = cluster.machines[place]?.replica;
  return replica === undefined ? cluster : withMachine(cluster, place, { records: snapshotRecordsOf(replica) });
};

/** The disk of a machine is gone for ever; an identity lives and dies with its disk. */
export const loseDisk = (cluster: Cluster, place: number, cutsConnections: boolean): Cluster => {
  const machine = cluster.machines[place];
  if (machine === undefined || machine.isGone) return cluster;
  const frames = cutsConnections ? cluster.frames.filter(({ from }) => from !== machine.address) : cluster.frames;
  return withMachine({ ...cluster, frames, lost: new Set([...cluster.lost, machine.identity]) }, place, {
    replica: undefined,
    records: [],
    isGone: true,
  });
};

/** An empty machine takes the place of one whose disk is gone, at the same address or at another. */
export const replace = (cluster: Cluster, place: number, moves: boolean): Cluster => {
  const machine = cluster.machines[place];
  if (machine === undefined || !machine.isGone) return cluster;
  const wipes = machine.wipes + 1;
  const address = moves ? addressOf(machine.name, wipes) : machine.address;
  return start(withMachine(cluster, place, freshMachine(machine.name, address, wipes, machine.clockUs)), place);
};

/** Delivers a frame to whoever runs at its address; one that is meant for another identity is dropped there. */
export const deliver = (cluster: Cluster, frame: Frame, failsAfter?: number): Cluster => {
  const place = cluster.machines.findIndex((machine) => machine.address === frame.address);
  const machine = cluster.machines[place];
  if (machine?.replica === undefined) return cluster;
  const knownAddresses = new Map(machine.knownAddresses).set(frame.identity, frame.from);
  const known = withMachine(cluster, place, { knownAddresses });
  if (frame.to !== undefined && frame.to !== machine.replica.identity) return known;
  const event: ControlEvent = {
    type: 'message',
    at: machine.clockUs,
    chance: chanceOf(cluster),
    from: frame.identity,
    message: frame.message,
  };
  return failsAfter === undefined ? hear(known, place, event) : hearAndFail(known, place, event, failsAfter);
};

/** Delivers what is in flight, but nothing to one address. */
export const deliverExcept = (cluster: Cluster, cutAddress: string | undefined): Cluster => {
  const { frames } = cluster;
  const kept = frames.filter(({ address }) => address === cutAddress);
  return frames
    .filter(({ address }) => address !== cutAddress)
    .reduce<Cluster>((reached, frame) => deliver(reached, frame), { ...cluster, frames: kept });
};

export const withoutFrame = (cluster: Cluster, place: number): Cluster => ({
  ...cluster,
  frames: cluster.frames.filter((_, other) => other !== place),
});

/** Lets a span pass on one machine's clock and wakes it. */
export const tick = (cluster: Cluster, place: number, span: Micros): Cluster => {
  const machine = cluster.machines[place];
  if (machine === undefined) return cluster;
  const at = machine.clockUs + span;
  const later = withMachine(cluster, place, { clockUs: at });
  if (machine.replica === undefined) return later;
  const addresses = [...cluster.machines.map(({ address }) => address), ...machine.knownAddresses.values()];
  const told =
    machine.replica.leader === undefined
      ? hear(later, place, { type: 'known', at, seeds: cluster.seeds, addresses })
      : later;
  return hear(told, place, { type: 'tick', at, chance: chanceOf(told) });
};

export const roundUs: Micros = 25_000;

/** One round of all clocks. */
export const tickAllOnce = (cluster: Cluster): Cluster =>
  cluster.machines.reduce<Cluster>((reached, _, place) => tick(reached, place, roundUs), cluster);

/** Delivers all that is in flight, in order; what is sent thereupon stays in flight. */
export const deliverAll = (cluster: Cluster): Cluster =>
  cluster.frames.reduce<Cluster>((reached, frame) => deliver(reached, frame), { ...cluster, frames: [] });

/**
 * Plays rounds of an untroubled network: all clocks go on, then all messages in flight arrive. It ends as soon as it is
 * done, which may be while messages are in flight.
 */
export const playFor = (cluster: Cluster, rounds: number, isDone: (reached: Cluster) => boolean): Cluster => {
  let reached = cluster;
  for (let halfRound = 0; halfRound < rounds * 2 && reached.broken.length === 0 && !isDone(reached); halfRound += 1)
    reached = halfRound % 2 === 0 ? tickAllOnce(reached) : deliverAll(reached);
  return reached;
};

/** The machine that leads in the newest term. */
export const leaderPlace = (cluster: Cluster): number | undefined =>
  cluster.machines
    .flatMap(({ replica }, place) => (replica?.role === 'leader' ? [{ term: replica.term, place }] : []))
    .sort((left, right) => right.term - left.term)[0]?.place;
