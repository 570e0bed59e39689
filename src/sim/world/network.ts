import type { Micros } from '../../common/micros.js';
import type { CutListener } from '../../rehearsal/history/cut-listener.js';
import type { World } from './world.js';

/** How often messages between nodes are delivered late or a second time, as shares from 0 to 1. */
export type Redelivery = {
  readonly lateShare: number;
  readonly twiceShare: number;
  /** The longest such delay; it may outlast a process, so that a message reaches the next life at its address. */
  readonly mostDelayUs: Micros;
};

/** The process that last listened at an address. */
export type SimEndpoint = {
  readonly life: string;
  acceptedConnections: number;
};

/** The virtual network: delay, loss and cuts, each direction for itself. */
export type Network = {
  readonly endpoints: Map<string, SimEndpoint>;
  readonly send: (from: string, to: string, arrive: () => void) => void;
  /** The same for messages between nodes, which may be delivered late and twice. */
  readonly sendFrame: (from: string, to: string, arrive: () => void) => void;
  readonly cut: (from: string, to: string) => void;
  readonly isCut: (from: string, to: string) => boolean;
  readonly heal: () => void;
  readonly lossy: (share: number) => void;
  readonly slow: (factor: number) => void;
  /** From now on delivers a share of the messages between nodes late, or twice; healing does not end it. */
  readonly redeliver: (redelivery: Redelivery) => void;
  /** Lets cuts and healings be written down. */
  readonly watch: (listener: CutListener) => void;
};

const leastDelayUs = 200;
const moreDelayUs = 1_500;

/** A network that delivers nothing late and nothing twice. */
export const noRedelivery: Redelivery = { lateShare: 0, twiceShare: 0, mostDelayUs: 0 };

export const openNetwork = (world: World): Network => {
  const cuts = new Set<string>();
  let lossShare = 0;
  let delayFactor = 1;
  let redelivery = noRedelivery;
  let listener: CutListener | undefined;

  /** Draws nothing where the share is nought, so that seeds of other scenarios play as before. */
  const isDrawn = (share: number): boolean => share > 0 && world.chance() < share;
  const usualDelayUs = (): Micros => (leastDelayUs + world.chance() * moreDelayUs) * delayFactor;
  const longDelayUs = (): Micros => world.chance() * redelivery.mostDelayUs;

  const isPassed = (from: string, to: string): boolean => !cuts.has(`${from}>${to}`) && !(world.chance() < lossShare);
  const deliverAfter = (span: Micros, from: string, to: string, arrive: () => void): void =>
    world.after(span, () => {
      if (!cuts.has(`${from}>${to}`)) arrive();
    });

  return {
    endpoints: new Map(),
    send: (from, to, arrive) => {
      if (isPassed(from, to)) deliverAfter(usualDelayUs(), from, to, arrive);
    },
    sendFrame: (from, to, arrive) => {
      if (!isPassed(from, to)) return;
      deliverAfter(isDrawn(redelivery.lateShare) ? longDelayUs() : usualDelayUs(), from, to, arrive);
      if (isDrawn(redelivery.twiceShare)) deliverAfter(longDelayUs(), from, to, arrive);
    },
    isCut: (from, to) => cuts.has(`${from}>${to}`),
    cut: (from, to) => {
      cuts.add(`${from}>${to}`);
      listener?.cut(from, to);
    },
    heal: () => {
      cuts.clear();
      listener?.heal();
      lossShare = 0;
      delayFactor = 1;
    },
    lossy: (share) => {
      lossShare = share;
    },
    slow: (factor) => {
      delayFactor = factor;
    },
    redeliver: (newRedelivery) => {
      redelivery = newRedelivery;
    },
    watch: (newListener) => {
      listener = newListener;
    },
  };
};
