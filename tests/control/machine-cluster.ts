import type { Micros } from '../../src/common/micros.js';
import { seededChance } from '../../src/common/chance.js';
import { recoverReplica, snapshotRecordsOf } from '../../src/control/persistence/recovery.js';
import type { DurableRecord } from '../../src/control/log/durable-record.js';
import type { ControlEvent } from '../../src/control/machine/control-event.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { startReplica, type Replica } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';
import type { ReplicatedState } from '../../src/control/state/replicated-state.js';

/** What becomes of one message: after how long each of its copies arrives; none for a lost one. */
export type Delivery = (from: string, to: string, message: ControlMessage, chance: number) => readonly Micros[];

type Sent = { readonly atUs: Micros; readonly from: string; readonly to: string; readonly message: ControlMessage };

/** Pure machines with their durable records, on one virtual clock. */
export type MachineCluster = {
  readonly now: () => Micros;
  readonly replica: (identity: string) => Replica;
  readonly records: (identity: string) => readonly DurableRecord[];
  /** Every message that was sent, in order; those that were lost among them. */
  readonly sent: Sent[];
  readonly deliver: (delivery: Delivery) => void;
  readonly stop: (identity: string) => void;
  /** Starts a machine again from what it kept, or with an empty disk. */
  readonly restart: (identity: string, isEmpty?: boolean) => void;
  readonly propose: (event: Extract<ControlEvent, { readonly type: 'propose' }>['command']) => void;
  readonly leader: () => Replica | undefined;
  /** The replicated state at an index, as the first machine that reached it had it. */
  readonly stateAt: (index: number) => ReplicatedState | undefined;
  readonly playFor: (span: Micros) => void;
};

const tickUs: Micros = 25_000;
const usualDelivery: Delivery = () => [1_000];

/** Opens a cluster of machines that start with the given replicas. */
export const openMachineCluster = (seed: number, starts: readonly Replica[]): MachineCluster => {
  const chance = seededChance(seed);
  const replicas = new Map(starts.map((replica) => [replica.identity, replica]));
  const kept = new Map<string, DurableRecord[]>(
    starts.map((replica) => [replica.identity, [...snapshotRecordsOf(replica)]]),
  );
  const running = new Set(replicas.keys());
  const sent: Sent[] = [];
  let waiting: Sent[] = [];
  let nowUs: Micros = Math.max(...starts.map((replica) => replica.atUs));
  let delivery = usualDelivery;
  let requests = 0;
  const states = new Map(starts.map((replica) => [replica.commit, replica.state]));

  const replica = (identity: string): Replica => {
    const found = replicas.get(identity);
    if (found === undefined) throw new Error(`no machine ${identity}`);
    return found;
  };

  const send = (from: string, to: string, message: ControlMessage): void => {
    sent.push({ atUs: nowUs, from, to, message });
    for (const delayUs of delivery(from, to, message, chance()))
      waiting.push({ atUs: nowUs + delayUs, from, to, message });
  };

  const take = (identity: string, event: ControlEvent): void => {
    if (!running.has(identity)) return;
    const step = stepControl(replica(identity), event);
    replicas.set(identity, step.replica);
    if (!states.has(step.replica.commit)) states.set(step.replica.commit, step.replica.state);
    for (const effect of step.effects) {
      if (effect.type === 'persist') kept.get(identity)?.push(effect.record);
      if (effect.type === 'send') send(identity, effect.to, effect.message);
    }
  };

  const deliverDue = (): void => {
    const due = waiting.filter((message) => message.atUs <= nowUs).sort((left, right) => left.atUs - right.atUs);
    waiting = waiting.filter((message) => message.atUs > nowUs);
    for (const { from, to, message } of due) take(to, { type: 'message', at: nowUs, chance: chance(), from, message });
  };

  const leader = (): Replica | undefined =>
    [...replicas.values()]
      .filter((one) => running.has(one.identity) && one.role === 'leader')
      .sort((left, right) => right.term - left.term)[0];

  return {
    now: () => nowUs,
    replica,
    records: (identity) => kept.get(identity) ?? [],
    sent,
    deliver: (newDelivery) => {
      delivery = newDelivery;
    },
    stop: (identity) => void running.delete(identity),
    restart: (identity, isEmpty = false) => {
      const former = replica(identity);
      const start = startReplica(identity, former.address, former.seeds);
      if (isEmpty) kept.set(identity, []);
      replicas.set(identity, { ...recoverReplica(start, isEmpty ? [] : (kept.get(identity) ?? [])), atUs: nowUs });
      running.add(identity);
    },
    propose: (command) => {
      const found = leader();
      requests += 1;
      if (found !== undefined) take(found.identity, { type: 'propose', at: nowUs, requestId: `r${requests}`, command });
    },
    leader,
    stateAt: (index) => states.get(index),
    playFor: (span) => {
      const endUs = nowUs + span;
      while (nowUs < endUs) {
        nowUs += 1_000;
        deliverDue();
        if (nowUs % tickUs === 0)
          for (const identity of [...running].sort()) take(identity, { type: 'tick', at: nowUs, chance: chance() });
      }
    },
  };
};
