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

/** What one of those that all know each other knows. */
const withoutSelf = (view: SpreadView, all: SpreadView, address: string): SpreadView => {
  const partners = all.partners.delete(address);
  const crowd = [...all.partners.keys()].reduce((sum, known) => (sum ^ drawOf(`${known}#0`)) >>> 0, 0);
  const routers = all.partners.count(({ partner }) => partner.role === 'router');
  return { ...view, partners, crowd, routers, wholeUs: 0, introduced: new Set(partners.keys()) };
};

/** A node of many: its machine, whether it lives, and where it is. */
export type ManyNode = {
  readonly address: string;
  readonly region: number;
  readonly locality: string;
  view: SpreadView;
  isUp: boolean;
  boot: number;
  /** Until when its processor is at work on frames that it has received. */
  busyUntilUs: Micros;
  sentFrames: number;
  sentBytes: number;
  farBytes: number;
};

export type ManyPlan = {
  readonly seed: number;
  readonly routers: number;
  readonly controls: number;
  readonly localities: number;
  readonly regions: number;
  readonly lossShare?: number;
  /** How long a node's processor works on a frame that it has received; none takes no time. */
  readonly frameCostUs?: (self: Partner, frame: SpreadFrame) => Micros;
};

const tickUs: Micros = 50_000;
const farDelayUs: Micros = 40_000;

/** Spread machines in virtual time, with delays within and between regions, deaths, starts and cuts. */
export const openMany = ({ seed, routers, controls, localities, regions, lossShare = 0, frameCostUs }: ManyPlan) => {
  const chance = seededChance(seed);
  const slots = new Map<number, (() => void)[]>();
  let atUs = 0;
  const slotUs = 500;
  const after = (spanUs: Micros, act: () => void): void => {
    const slot = Math.ceil((atUs + Math.max(1, spanUs)) / slotUs);
    const acts = slots.get(slot);
    if (acts === undefined) slots.set(slot, [act]);
    else acts.push(act);
  };
  const nodes: ManyNode[] = [];
  const byAddress = new Map<string, ManyNode>();
  let isCut: (from: ManyNode, to: ManyNode) => boolean = () => false;
  /** Living nodes that somebody gave up: `giver gave up whom`. */
  const falseAlarms: string[] = [];
  const seeds: string[] = [];

  const deliver = (from: ManyNode, address: string, frame: SpreadFrame): void => {
    const to = byAddress.get(address);
    const bytes = calculateObjectSize(frame);
    from.sentFrames += 1;
    from.sentBytes += bytes;
    if (to === undefined) return;
    if (to.locality !== from.locality) from.farBytes += bytes;
    if (isCut(from, to) || chance() < lossShare) return;
    const { boot } = to;
    after(200 + chance() * 1_500 + (from.region === to.region ? 0 : farDelayUs), () => {
      if (!isCut(from, to))
        work(to, frame, () => {
          if (to.isUp && to.boot === boot) take(to, { type: 'frame', at: atUs, from: from.address, frame });
        });
    });
  };
  /** Lets a frame wait until the processor has done with it and with all that came before it. */
  const work = (node: ManyNode, frame: SpreadFrame, act: () => void): void => {
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
          falseAlarms.push(`${node.address} gave up ${address}`);
    for (const effect of step.effects) if (effect.type === 'send') deliver(node, effect.address, effect.frame);
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
    const place = index % localities;
    const address = `10.0.${index >> 8}.${index & 255}:7000`;
    const locality = `locality-${place}`;
    const self = {
      node: `${role}-${index}`,
      role,
      address,
      http: `${address.split(':')[0] ?? ''}:8000`,
      locality,
    } as const;
    const node: ManyNode = {
      address,
      region: place % regions,
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
  const play = (spanUs: Micros): void => {
    const endUs = atUs + spanUs;
    for (let slot = Math.floor(atUs / slotUs); slot * slotUs <= endUs; slot += 1) {
      atUs = Math.max(atUs, slot * slotUs);
      const acts = slots.get(slot);
      if (acts === undefined) continue;
      slots.delete(slot);
      for (const act of acts) act();
    }
    atUs = endUs;
  };
  /** Begins all at once, as nodes that have long known each other. */
  const startAcquainted = (): void => {
    const all = nodes.reduce(
      (view, { view: { self } }) => withPartner(view, self, 0).view,
      startSpreadView({ ...seedOf(nodes), address: 'nowhere:1' }, []),
    );
    for (const node of nodes) {
      start(node);
      const known = withoutSelf(node.view, all, node.address);
      node.view = known;
    }
  };
  const living = (): readonly ManyNode[] => nodes.filter(({ isUp }) => isUp);
  return {
    nodes,
    living,
    falseAlarms,
    play,
    start,
    startAcquainted,
    now: () => atUs,
    chance,
    kill: (node: ManyNode) => {
      node.isUp = false;
    },
    cut: (isBetween: (from: ManyNode, to: ManyNode) => boolean) => {
      isCut = isBetween;
    },
    offer: (node: ManyNode, event: SpreadEvent) => take(node, event),
    /** How long until all living nodes have something; undefined when that takes too long. */
    until: (has: (node: ManyNode) => boolean, mostUs: Micros, stepUs: Micros = 50_000): Micros | undefined => {
      const sinceUs = atUs;
      while (atUs < sinceUs + mostUs) {
        if (living().every(has)) return atUs - sinceUs;
        play(stepUs);
      }
      return living().every(has) ? atUs - sinceUs : undefined;
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
