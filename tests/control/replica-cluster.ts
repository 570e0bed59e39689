import type { Micros } from '../../src/common/micros.js';
import { seededRandom } from '../../src/common/random.js';
import { recoverReplica, snapshotRecordsOf } from '../../src/control/persistence/recovery.js';
import type { DurableRecord } from '../../src/control/log/durable-record.js';
import type { ControlEvent } from '../../src/control/machine/control-event.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';
import type { ReplicatedState } from '../../src/control/state/replicated-state.js';

/** The delays after which the copies of a message arrive; empty for a lost message. */
export type Delivery = (from: string, to: string, message: ControlMessage, chance: number) => readonly Micros[];

type Sent = { readonly atUs: Micros; readonly from: string; readonly to: string; readonly message: ControlMessage };

/** A cluster of replicas and their persisted records in virtual time, without processes, disks or network. */
export type ReplicaCluster = {
  readonly now: () => Micros;
  readonly replica: (identity: string) => Replica;
  readonly records: (identity: string) => readonly DurableRecord[];
  /** All messages sent, in order, including lost ones. */
  readonly sent: Sent[];
  readonly deliver: (delivery: Delivery) => void;
  readonly stop: (identity: string) => void;
  /** Restarts a replica from its persisted records, or with an empty disk. */
  readonly restart: (identity: string, isEmpty?: boolean) => void;
  readonly propose: (event: Extract<ControlEvent, { readonly type: 'propose' }>['command']) => void;
  readonly leader: () => Replica | undefined;
  /** The replicated state at a commit index, of the first replica that reached it. */
  readonly stateAt: (index: number) => ReplicatedState | undefined;
  readonly playFor: (span: Micros) => void;
};

const tickUs: Micros = 25_000;
const defaultDelivery: Delivery = () => [1_000];

/** Opens a cluster with the given initial replicas. */
export const openReplicaCluster = (seed: number, initialReplicas: readonly Replica[]): ReplicaCluster => {
  const chance = seededRandom(seed);
  const replicas = new Map(initialReplicas.map((replica) => [replica.identity, replica]));
  const persisted = new Map<string, DurableRecord[]>(
    initialReplicas.map((replica) => [replica.identity, [...snapshotRecordsOf(replica)]]),
  );
  const running = new Set(replicas.keys());
  const sent: Sent[] = [];
  let inFlight: Sent[] = [];
  let nowUs: Micros = Math.max(...initialReplicas.map((replica) => replica.atUs));
  let delivery = defaultDelivery;
  let requests = 0;
  const states = new Map(initialReplicas.map((replica) => [replica.commit, replica.state]));

  const replica = (identity: string): Replica => {
    const target = replicas.get(identity);
    if (target === undefined) throw new Error(`no replica ${identity}`);
    return target;
  };

  const send = (from: string, to: string, message: ControlMessage): void => {
    sent.push({ atUs: nowUs, from, to, message });
    for (const delayUs of delivery(from, to, message, chance()))
      inFlight.push({ atUs: nowUs + delayUs, from, to, message });
  };

  const apply = (identity: string, event: ControlEvent): void => {
    if (!running.has(identity)) return;
    const step = stepControl(replica(identity), event);
    replicas.set(identity, step.replica);
    if (!states.has(step.replica.commit)) states.set(step.replica.commit, step.replica.state);
    for (const effect of step.effects) {
      if (effect.type === 'persist') persisted.get(identity)?.push(effect.record);
      if (effect.type === 'send') send(identity, effect.to, effect.message);
    }
  };

  const deliverDue = (): void => {
    const due = inFlight.filter((message) => message.atUs <= nowUs).sort((left, right) => left.atUs - right.atUs);
    inFlight = inFlight.filter((message) => message.atUs > nowUs);
    for (const { from, to, message } of due) apply(to, { type: 'message', at: nowUs, chance: chance(), from, message });
  };

  const leader = (): Replica | undefined =>
    [...replicas.values()]
      .filter((candidate) => running.has(candidate.identity) && candidate.role === 'leader')
      .sort((left, right) => right.term - left.term)[0];

  return {
    now: () => nowUs,
    replica,
    records: (identity) => persisted.get(identity) ?? [],
    sent,
    deliver: (newDelivery) => {
      delivery = newDelivery;
    },
    stop: (identity) => void running.delete(identity),
    restart: (identity, isEmpty = false) => {
      const previous = replica(identity);
      const start = createReplica(identity, previous.address, previous.seeds);
      if (isEmpty) persisted.set(identity, []);
      replicas.set(identity, { ...recoverReplica(start, isEmpty ? [] : (persisted.get(identity) ?? [])), atUs: nowUs });
      running.add(identity);
    },
    propose: (command) => {
      const target = leader();
      requests += 1;
      if (target !== undefined)
        apply(target.identity, { type: 'propose', at: nowUs, requestId: `r${requests}`, command });
    },
    leader,
    stateAt: (index) => states.get(index),
    playFor: (span) => {
      const endUs = nowUs + span;
      while (nowUs < endUs) {
        nowUs += 1_000;
        deliverDue();
        if (nowUs % tickUs === 0)
          for (const identity of [...running].sort()) apply(identity, { type: 'tick', at: nowUs, chance: chance() });
      }
    },
  };
};
