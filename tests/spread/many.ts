import { calculateObjectSize } from 'bson';
import { seededChance } from '../../src/common/chance.js';
import type { Micros } from '../../src/common/micros.js';
import type { SpreadEvent, SpreadFrame } from '../../src/spread/machine/spread-event.js';
import { drawOf } from '../../src/spread/machine/draw.js';
import { withPartner } from '../../src/spread/machine/membership.js';
import type { Partner } from '../../src/spread/partner/partner.js';
import { startSpreadView, type SpreadView } from '../../src/spread/machine/spread-view.js';
import { stepSpread } from '../../src/spread/machine/step.js';

const seedOf = (nodes: readonly ManyNode[]): Partner =>
  nodes[0]?.view.self ?? { node: '', role: 'control', address: '', http: '', locality: '' };

/** The view of one node of a converged cluster, made from a view that has all nodes as peers. */
const convergedView = (view: SpreadView, all: SpreadView, address: string): SpreadView => {
  const partners = all.partners.delete(address);
  const crowd = [...all.partners.keys()].reduce((sum, known) => (sum ^ drawOf(`${known}#0`)) >>> 0, 0);
  const routers = all.partners.count(({ partner }) => partner.role === 'router');
  return { ...view, partners, crowd, routers, lastFullSyncUs: 0, introduced: new Set(partners.keys()) };
};

/** A simulated node: its gossip state, location and counters. */
export type ManyNode = {
  readonly address: string;
  readonly region: number;
  readonly locality: string;
  view: SpreadView;
  isUp: boolean;
  /** The number of starts; frames and ticks of an earlier start are dropped. */
  boot: number;
  /** When its processor will have handled all received frames. */
  busyUntilUs: Micros;
  sentFrames: number;
  sentBytes: number;
  /** Bytes sent to other localities. */
  farBytes: number;
};

export type ManyPlan = {
  readonly seed: number;
  readonly routers: number;
  readonly controls: number;
  readonly localities: number;
  readonly regions: number;
  /** The probability that a frame is lost. */
  readonly lossShare?: number;
  /** The processor time for a received frame; 0 by default. */
  readonly frameCostUs?: (self: Partner, frame: SpreadFrame) => Micros;
};

const tickUs: Micros = 50_000;
/** The additional delay between regions. */
const interRegionDelayUs: Micros = 40_000;

/** Opens a cluster of gossip state machines in virtual time, with delays, lost frames, crashes, restarts and partitions. */
export const openMany = ({ seed, routers, controls, localities, regions, lossShare = 0, frameCostUs }: ManyPlan) => {
  const chance = seededChance(seed);
  const actsBySlot = new Map<number, (() => void)[]>();
  let atUs = 0;
  const slotUs = 500;
  const after = (delayUs: Micros, act: () => void): void => {
    const slot = Math.ceil((atUs + Math.max(1, delayUs)) / slotUs);
    const acts = actsBySlot.get(slot);
    if (acts === undefined) actsBySlot.set(slot, [act]);
    else acts.push(act);
  };
  const nodes: ManyNode[] = [];
  const byAddress = new Map<string, ManyNode>();
  let isCut: (from: ManyNode, to: ManyNode) => boolean = () => false;
  /** Live nodes that another node has declared dead, as in `10.0.0.1:7000 declared 10.0.0.2:7000 dead`. */
  const falsePositives: string[] = [];
  const seeds: string[] = [];

  const transmit = (from: ManyNode, address: string, frame: SpreadFrame): void => {
    const to = byAddress.get(address);
    const bytes = calculateObjectSize(frame);
    from.sentFrames += 1;
    from.sentBytes += bytes;
    if (to === undefined) return;
    if (to.locality !== from.locality) from.farBytes += bytes;
    if (isCut(from, to) || chance() < lossShare) return;
    const { boot } = to;
    after(200 + chance() * 1_500 + (from.region === to.region ? 0 : interRegionDelayUs), () => {
      if (!isCut(from, to))
        schedule(to, frame, () => {
          if (to.isUp && to.boot === boot) take(to, { type: 'frame', at: atUs, from: from.address, frame });
        });
    });
  };
  /** Delays the handling of a frame until the processor has finished it and all earlier ones. */
  const schedule = (node: ManyNode, frame: SpreadFrame, act: () => void): void => {
    const costUs = frameCostUs?.(node.view.self, frame) ?? 0;
    if (costUs === 0) {
      act();
      return;
    }
    node.busyUntilUs = Math.max(node.busyUntilUs, atUs) + costUs;
    after(node.busyUntilUs - atUs, act);
  };
  const take = (node: ManyNode, event: SpreadEvent): void => {
    const step = stepSpread(node.view, event);
    const former = node.view.lost;
    node.view = step.view;
    if (step.view.lost !== former)
      for (const [address] of step.view.lost)
        if (!former.has(address) && byAddress.get(address)?.isUp === true)
          falsePositives.push(`${node.address} declared ${address} dead`);
    for (const effect of step.effects) if (effect.type === 'send') transmit(node, effect.address, effect.frame);
  };
  const start = (node: ManyNode): void => {
    node.isUp = true;
    node.boot += 1;
    const { boot } = node;
    node.view = startSpreadView({ ...node.view.self }, seeds);
    const tick = (): void => {
      if (!node.isUp || node.boot !== boot) return;
      take(node, { type: 'tick', at: atUs });
      after(tickUs, tick);
    };
    after(chance() * tickUs, tick);
  };
  for (let index = 0; index < controls + routers; index += 1) {
    const role = index < controls ? 'control' : 'router';
    const localityIndex = index % localities;
    const address = `10.0.${index >> 8}.${index & 255}:7000`;
    const locality = `locality-${localityIndex}`;
    const self = {
      node: `${role}-${index}`,
      role,
      address,
      http: `${address.split(':')[0] ?? ''}:8000`,
      locality,
    } as const;
    const node: ManyNode = {
      address,
      region: localityIndex % regions,
      locality,
      view: startSpreadView(self, []),
      isUp: false,
      boot: 0,
      busyUntilUs: 0,
      sentFrames: 0,
      sentBytes: 0,
      farBytes: 0,
    };
    nodes.push(node);
    byAddress.set(address, node);
    if (index < Math.min(3, controls)) seeds.push(address);
  }
  const play = (durationUs: Micros): void => {
    const endUs = atUs + durationUs;
    for (let slot = Math.floor(atUs / slotUs); slot * slotUs <= endUs; slot += 1) {
      atUs = Math.max(atUs, slot * slotUs);
      const acts = actsBySlot.get(slot);
      if (acts === undefined) continue;
      actsBySlot.delete(slot);
      for (const act of acts) act();
    }
    atUs = endUs;
  };
  /** Starts all nodes with converged membership. */
  const startConverged = (): void => {
    const all = nodes.reduce(
      (view, { view: { self } }) => withPartner(view, self, 0).view,
      startSpreadView({ ...seedOf(nodes), address: 'nowhere:1' }, []),
    );
    for (const node of nodes) {
      start(node);
      const converged = convergedView(node.view, all, node.address);
      node.view = converged;
    }
  };
  const liveNodes = (): readonly ManyNode[] => nodes.filter(({ isUp }) => isUp);
  return {
    nodes,
    liveNodes,
    falsePositives,
    play,
    start,
    startConverged,
    now: () => atUs,
    chance,
    kill: (node: ManyNode) => {
      node.isUp = false;
    },
    cut: (isSevered: (from: ManyNode, to: ManyNode) => boolean) => {
      isCut = isSevered;
    },
    offer: (node: ManyNode, event: SpreadEvent) => take(node, event),
    /** Runs until a condition is true on all live nodes and returns the time that took; undefined if that is over a limit. */
    timeUntil: (isDone: (node: ManyNode) => boolean, limitUs: Micros, stepUs: Micros = 50_000): Micros | undefined => {
      const startUs = atUs;
      while (atUs < startUs + limitUs) {
        if (liveNodes().every(isDone)) return atUs - startUs;
        play(stepUs);
      }
      return liveNodes().every(isDone) ? atUs - startUs : undefined;
    },
    resetCounts: () => {
      for (const node of nodes) {
        node.sentFrames = 0;
        node.sentBytes = 0;
        node.farBytes = 0;
      }
    },
  };
};

export type Many = ReturnType<typeof openMany>;
