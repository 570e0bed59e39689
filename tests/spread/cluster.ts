import { calculateObjectSize } from 'bson';
import { seededRandom } from '../../src/common/random.js';
import type { Micros } from '../../src/common/micros.js';
import type { GossipEvent, GossipFrame } from '../../src/spread/machine/gossip-event.js';
import { hashOf } from '../../src/spread/machine/random.js';
import { applyPeerDescription } from '../../src/spread/machine/membership.js';
import type { Peer } from '../../src/spread/peer/peer.js';
import { initialGossipView, type GossipView } from '../../src/spread/machine/gossip-view.js';
import { stepGossip } from '../../src/spread/machine/step.js';

const seedOf = (nodes: readonly ClusterNode[]): Peer =>
  nodes[0]?.view.self ?? { node: '', role: 'control', address: '', http: '', locality: '' };

/** The view of one node of a converged cluster, made from a view that has all nodes as peers. */
const convergedView = (view: GossipView, all: GossipView, address: string): GossipView => {
  const partners = all.partners.delete(address);
  const crowd = [...all.partners.keys()].reduce((sum, known) => (sum ^ hashOf(`${known}#0`)) >>> 0, 0);
  const routers = all.partners.count(({ partner }) => partner.role === 'router');
  return { ...view, partners, crowd, routers, lastFullSyncUs: 0, introduced: new Set(partners.keys()) };
};

/** A simulated node: its gossip state, location and counters. */
export type ClusterNode = {
  readonly address: string;
  readonly region: number;
  readonly locality: string;
  view: GossipView;
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

export type ClusterOptions = {
  readonly seed: number;
  readonly routers: number;
  readonly controls: number;
  readonly localities: number;
  readonly regions: number;
  /** The probability that a frame is lost. */
  readonly lossShare?: number;
  /** The processor time for a received frame; 0 by default. */
  readonly frameCostUs?: (self: Peer, frame: GossipFrame) => Micros;
};

const tickUs: Micros = 50_000;
/** The additional delay between regions. */
const interRegionDelayUs: Micros = 40_000;

/** Opens a cluster of gossip state machines in virtual time, with delays, lost frames, crashes, restarts and partitions. */
export const openCluster = ({
  seed,
  routers,
  controls,
  localities,
  regions,
  lossShare = 0,
  frameCostUs,
}: ClusterOptions) => {
  const chance = seededRandom(seed);
  const actsBySlot = new Map<number, (() => void)[]>();
  let atUs = 0;
  const slotUs = 500;
  const after = (delayUs: Micros, act: () => void): void => {
    const slot = Math.ceil((atUs + Math.max(1, delayUs)) / slotUs);
    const acts = actsBySlot.get(slot);
    if (acts === undefined) actsBySlot.set(slot, [act]);
    else acts.push(act);
  };
  const nodes: ClusterNode[] = [];
  const byAddress = new Map<string, ClusterNode>();
  let isCut: (from: ClusterNode, to: ClusterNode) => boolean = () => false;
  /** Live nodes that another node has declared dead, as in `10.0.0.1:7000 declared 10.0.0.2:7000 dead`. */
  const falsePositives: string[] = [];
  const seeds: string[] = [];

  const transmit = (from: ClusterNode, address: string, frame: GossipFrame): void => {
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
  const schedule = (node: ClusterNode, frame: GossipFrame, act: () => void): void => {
    const costUs = frameCostUs?.(node.view.self, frame) ?? 0;
    if (costUs === 0) {
      act();
      return;
    }
    node.busyUntilUs = Math.max(node.busyUntilUs, atUs) + costUs;
    after(node.busyUntilUs - atUs, act);
  };
  const take = (node: ClusterNode, event: GossipEvent): void => {
    const step = stepGossip(node.view, event);
    const former = node.view.lost;
    node.view = step.view;
    if (step.view.lost !== former)
      for (const [address] of step.view.lost)
        if (!former.has(address) && byAddress.get(address)?.isUp === true)
          falsePositives.push(`${node.address} declared ${address} dead`);
    for (const effect of step.effects) if (effect.type === 'send') transmit(node, effect.address, effect.frame);
  };
  const start = (node: ClusterNode): void => {
    node.isUp = true;
    node.boot += 1;
    const { boot } = node;
    node.view = initialGossipView({ ...node.view.self }, seeds);
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
    const node: ClusterNode = {
      address,
      region: localityIndex % regions,
      locality,
      view: initialGossipView(self, []),
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
      (view, { view: { self } }) => applyPeerDescription(view, self, 0).view,
      initialGossipView({ ...seedOf(nodes), address: 'nowhere:1' }, []),
    );
    for (const node of nodes) {
      start(node);
      const converged = convergedView(node.view, all, node.address);
      node.view = converged;
    }
  };
  const liveNodes = (): readonly ClusterNode[] => nodes.filter(({ isUp }) => isUp);
  return {
    nodes,
    liveNodes,
    falsePositives,
    play,
    start,
    startConverged,
    now: () => atUs,
    chance,
    kill: (node: ClusterNode) => {
      node.isUp = false;
    },
    cut: (isSevered: (from: ClusterNode, to: ClusterNode) => boolean) => {
      isCut = isSevered;
    },
    offer: (node: ClusterNode, event: GossipEvent) => take(node, event),
    /** Runs until a condition is true on all live nodes and returns the time that took; undefined if that is over a limit. */
    timeUntil: (
      isDone: (node: ClusterNode) => boolean,
      limitUs: Micros,
      stepUs: Micros = 50_000,
    ): Micros | undefined => {
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

export type Cluster = ReturnType<typeof openCluster>;
