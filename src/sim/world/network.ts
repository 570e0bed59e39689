import type { CutEars } from '../../rehearsal/history/cut-ears.js';
import type { World } from './world.js';

/** The process that last listened at an address. */
export type SimEndpoint = {
  readonly life: string;
  acceptedConnections: number;
};

/** The virtual network: delay, loss and cuts, each direction for itself. */
export type Network = {
  readonly endpoints: Map<string, SimEndpoint>;
  readonly send: (from: string, to: string, arrive: () => void) => void;
  readonly cut: (from: string, to: string) => void;
  readonly isCut: (from: string, to: string) => boolean;
  readonly heal: () => void;
  readonly lossy: (share: number) => void;
  readonly slow: (factor: number) => void;
  /** Lets cuts and healings be written down. */
  readonly watch: (ears: CutEars) => void;
};

const leastDelayUs = 200;
const moreDelayUs = 1_500;

export const openNetwork = (world: World): Network => {
  const cuts = new Set<string>();
  let lossShare = 0;
  let delayFactor = 1;
  let ears: CutEars | undefined;
  return {
    endpoints: new Map(),
    send: (from, to, arrive) => {
      if (cuts.has(`${from}>${to}`) || world.chance() < lossShare) return;
      world.after((leastDelayUs + world.chance() * moreDelayUs) * delayFactor, () => {
        if (!cuts.has(`${from}>${to}`)) arrive();
      });
    },
    isCut: (from, to) => cuts.has(`${from}>${to}`),
    cut: (from, to) => {
      cuts.add(`${from}>${to}`);
      ears?.cut(from, to);
    },
    heal: () => {
      cuts.clear();
      ears?.heal();
      lossShare = 0;
      delayFactor = 1;
    },
    lossy: (share) => {
      lossShare = share;
    },
    slow: (factor) => {
      delayFactor = factor;
    },
    watch: (newEars) => {
      ears = newEars;
    },
  };
};
