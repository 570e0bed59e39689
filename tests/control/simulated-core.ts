/**
 * A simulated core in virtual time, of control state machines without processes: messages with random delays, lost
 * disks, restarts from the persisted records, gossip that gives nodes without a leader the addresses of the others, and
 * checks of the committed entries. The seed determines a run.
 */
import type { LogEntry } from '../../src/control/log/log-entry.js';
import type { DurableRecord } from '../../src/control/log/durable-record.js';
import type { ControlEffect } from '../../src/control/machine/control-effect.js';
import type { ControlEvent } from '../../src/control/machine/control-event.js';
import { entryAt, lastIndexOf, membersOf, termAt, votersOf } from '../../src/control/machine/log-queries.js';
import type { ControlMessage } from '../../src/control/machine/message.js';
import { createReplica, type Replica } from '../../src/control/machine/replica.js';
import { stepControl } from '../../src/control/machine/step.js';
import { recoverReplica } from '../../src/control/persistence/recovery.js';

const tickUs = 25_000;
const minDelayUs = 200;
const delayRangeUs = 3_000;

/** A control node at an address; its identity changes when its disk is lost. */
export type SimulatedNode = {
  readonly address: string;
  readonly replica: Replica;
  readonly records: readonly DurableRecord[];
  readonly isUp: boolean;
  readonly knownAddresses: ReadonlyMap<string, string>;
};

type Frame = {
  readonly dueUs: number;
  readonly from: string;
  readonly fromAddress: string;
  readonly toAddress: string;
  readonly to: string | undefined;
  readonly message: ControlMessage;
};

/** The interface of the simulated core for tests. */
export type SimulatedCore = {
  readonly chance: () => number;
  readonly now: () => number;
  readonly at: (address: string) => SimulatedNode;
  readonly addresses: () => readonly string[];
  readonly leader: () => SimulatedNode | undefined;
  readonly voterAddresses: () => readonly string[];
  readonly playFor: (spanUs: number) => void;
  /** Plays until the condition holds; false if it does not hold within the time. */
  readonly playUntil: (holds: () => boolean, spanUs: number) => boolean;
  readonly event: (address: string, event: ControlEvent) => readonly ControlEffect[];
  readonly stop: (address: string) => void;
  readonly restart: (address: string) => void;
  /** Starts a node with an empty disk and a new identity, at the address of an existing node or a new one. */
  readonly startEmpty: (address: string) => void;
  /** Sets the share of messages that are lost from now on. */
  readonly setLossShare: (share: number) => void;
  readonly deliver: (from: string, toAddress: string, message: ControlMessage) => void;
  /** Violations: committed entries that changed, and leaders that lack committed entries. */
  readonly broken: () => readonly string[];
};

const randomOf = (seed: number): (() => number) => {
  let state = (seed * 2_654_435_761 + 1) >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
};

/**
 * Opens a core whose seeds start at once; `duplicated` is the share of messages that arrive again up to a second later.
 */
export const openSimulatedCore = (
  seed: number,
  seeds: readonly string[],
  voters: number,
  duplicated = 0,
): SimulatedCore => {
  const chance = randomOf(seed);
  const nodes = new Map<string, SimulatedNode>();
  const violations: string[] = [];
  const committed = new Map<number, string>();
  let frames: readonly Frame[] = [];
  let nowUs = 0;
  let identityCount = 0;
  let lostShare = 0;

  const at = (address: string): SimulatedNode => {
    const node = nodes.get(address);
    if (node === undefined) throw new Error(`no node at ${address}`);
    return node;
  };

  const textOf = (entry: LogEntry): string => `${entry.term} ${JSON.stringify(entry.command)}`;

  const checkCommits = (before: Replica, after: Replica): void => {
    for (let index = before.commit + 1; index <= after.commit; index += 1) {
      const entry = entryAt(after, index);
      if (entry === undefined) continue;
      const known = committed.get(index);
      if (known !== undefined && known !== textOf(entry))
        violations.push(`index ${index}: ${known} / ${textOf(entry)}`);
      committed.set(index, textOf(entry));
    }
    if (before.role === 'leader' || after.role !== 'leader') return;
    for (const [index, text] of committed) {
      const entry = entryAt(after, index);
      const isCompacted = index <= after.snapshot.index;
      if (!isCompacted && (entry === undefined || textOf(entry) !== text))
        violations.push(`${after.identity} leads term ${after.term} without the committed entry ${index}`);
    }
  };

  const addressOf = (node: SimulatedNode, identity: string): string | undefined =>
    membersOf(node.replica).find((member) => member.identity === identity)?.address ??
    node.knownAddresses.get(identity);

  const sendMessage = (
    node: SimulatedNode,
    toAddress: string,
    to: string | undefined,
    message: ControlMessage,
  ): void => {
    const frame = { from: node.replica.identity, fromAddress: node.address, toAddress, to, message };
    if (chance() < lostShare) return;
    frames = [...frames, { ...frame, dueUs: nowUs + minDelayUs + Math.floor(chance() * delayRangeUs) }];
    if (chance() < duplicated) frames = [...frames, { ...frame, dueUs: nowUs + Math.floor(chance() * 1_000_000) }];
  };

  const execute = (node: SimulatedNode, effect: ControlEffect): void => {
    if (effect.type === 'sendTo') sendMessage(node, effect.address, undefined, effect.message);
    if (effect.type !== 'send') return;
    const toAddress = addressOf(node, effect.to);
    if (toAddress !== undefined) sendMessage(node, toAddress, effect.to, effect.message);
  };

  const event = (address: string, received: ControlEvent): readonly ControlEffect[] => {
    const node = at(address);
    const step = stepControl(node.replica, received);
    checkCommits(node.replica, step.replica);
    const persisted = step.effects.flatMap((effect) => (effect.type === 'persist' ? [effect.record] : []));
    const updatedNode = { ...node, replica: step.replica, records: [...node.records, ...persisted] };
    nodes.set(address, updatedNode);
    step.effects.forEach((effect) => execute(updatedNode, effect));
    return step.effects;
  };

  const deliverFrame = (frame: Frame): void => {
    const node = nodes.get(frame.toAddress);
    if (node === undefined || !node.isUp) return;
    const knownAddresses = new Map([...node.knownAddresses, [frame.from, frame.fromAddress] as const]);
    nodes.set(frame.toAddress, { ...node, knownAddresses });
    if (frame.to !== undefined && frame.to !== node.replica.identity) return;
    event(frame.toAddress, { type: 'message', at: nowUs, chance: chance(), from: frame.from, message: frame.message });
  };

  const playOneTick = (): void => {
    const endUs = nowUs + tickUs;
    for (;;) {
      const next = frames.reduce<Frame | undefined>(
        (earliest, frame) => (earliest === undefined || frame.dueUs < earliest.dueUs ? frame : earliest),
        undefined,
      );
      if (next === undefined || next.dueUs > endUs) break;
      frames = frames.filter((frame) => frame !== next);
      nowUs = Math.max(nowUs, next.dueUs);
      deliverFrame(next);
    }
    nowUs = endUs;
    const upAddresses = [...nodes.values()].filter((node) => node.isUp).map((node) => node.address);
    for (const address of upAddresses)
      if (at(address).replica.leader === undefined)
        event(address, { type: 'known', at: nowUs, seeds, addresses: upAddresses });
    for (const [address, node] of nodes) if (node.isUp) event(address, { type: 'tick', at: nowUs, chance: chance() });
  };

  const startEmpty = (address: string): void => {
    identityCount += 1;
    const replica = createReplica(`${address}#${identityCount}`, address, seeds, nowUs === 0, voters);
    const records: readonly DurableRecord[] = [
      { type: 'identity', identity: replica.identity, founds: replica.founds },
    ];
    nodes.set(address, { address, replica, records, isUp: true, knownAddresses: new Map() });
  };

  const restart = (address: string): void => {
    const node = at(address);
    const emptyReplica = createReplica(node.replica.identity, address, seeds, node.replica.founds, voters);
    const replica = recoverReplica(emptyReplica, node.records);
    nodes.set(address, { ...node, replica, isUp: true, knownAddresses: new Map() });
  };

  const leader = (): SimulatedNode | undefined =>
    [...nodes.values()]
      .filter((node) => node.isUp && node.replica.role === 'leader')
      .sort((left, right) => right.replica.term - left.replica.term)[0];

  seeds.forEach(startEmpty);
  return {
    chance,
    now: () => nowUs,
    at,
    addresses: () => [...nodes.keys()],
    leader,
    voterAddresses: () => {
      const leaderNode = leader();
      return leaderNode === undefined
        ? []
        : votersOf(leaderNode.replica)
            .map((member) => member.address)
            .sort();
    },
    playFor: (spanUs) => {
      const untilUs = nowUs + spanUs;
      while (nowUs < untilUs) playOneTick();
    },
    playUntil: (holds, spanUs) => {
      const untilUs = nowUs + spanUs;
      while (!holds() && nowUs < untilUs) playOneTick();
      return holds();
    },
    event,
    stop: (address) => void nodes.set(address, { ...at(address), isUp: false }),
    restart,
    startEmpty,
    setLossShare: (share) => void (lostShare = share),
    deliver: (from, toAddress, message) =>
      deliverFrame({ dueUs: nowUs, from, fromAddress: `${from}:lost`, toAddress, to: undefined, message }),
    broken: () => violations,
  };
};

/** Whether a leader has committed an entry of its own term, so that it can serve requests. */
export const isServing = (core: SimulatedCore): boolean => {
  const leader = core.leader()?.replica;
  return leader !== undefined && termAt(leader, leader.commit) === leader.term;
};

/** Whether the voters are exactly the nodes at the addresses, all caught up, with no uncommitted entry. */
export const isSettledOn = (core: SimulatedCore, addresses: readonly string[]): boolean => {
  const leader = core.leader()?.replica;
  if (leader === undefined || leader.commit !== lastIndexOf(leader)) return false;
  if (core.voterAddresses().join() !== [...addresses].sort().join()) return false;
  return votersOf(leader).every((voter) => {
    const controlNode = core.at(voter.address);
    return (
      controlNode.isUp &&
      controlNode.replica.identity === voter.identity &&
      lastIndexOf(controlNode.replica) === leader.commit
    );
  });
};
