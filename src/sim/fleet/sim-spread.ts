import type { Micros } from '../../common/micros.js';
import type { SpreadEffect } from '../../spread/machine/spread-effect.js';
import type { SpreadEvent, SpreadFrame } from '../../spread/machine/spread-event.js';
import { startSpreadView, type SpreadView } from '../../spread/machine/spread-view.js';
import { stepSpread } from '../../spread/machine/step.js';
import type { Network } from '../world/network.js';
import type { World } from '../world/world.js';
import type { SimNode } from './sim-node.js';

/** The spread machine of one process in the virtual world. */
export type SimSpread = {
  readonly view: () => SpreadView;
  readonly receive: (from: string, frame: SpreadFrame) => void;
  readonly take: (event: SpreadEvent) => void;
  readonly begin: () => void;
  readonly platformUs: () => Micros;
};

export type SimSpreadPlan = {
  readonly name: string;
  readonly role: 'router' | 'control';
  readonly address: () => string;
  readonly seeds: () => readonly string[];
  readonly node: SimNode;
  readonly world: World;
  readonly network: Network;
  readonly spreadAt: (address: string) => SimSpread | undefined;
  readonly hear: (effect: SpreadEffect) => void;
};

const tickUs = 50_000;

export const openSimSpread = ({ name, role, address, seeds, node, world, network, spreadAt, hear }: SimSpreadPlan): SimSpread => {
  const freshView = (): SpreadView =>
    startSpreadView({ node: name, role, address: address(), http: `${address()}/http`, locality: 'a' }, seeds());
  let view = freshView();
  const take = (event: SpreadEvent): void => {
    const step = stepSpread(view, { ...event, at: world.now() });
    view = step.view;
    for (const effect of step.effects) {
      if (effect.type === 'send') {
        const from = address();
        const { frame } = effect;
        network.send(from, effect.address, () => spreadAt(effect.address)?.receive(from, frame));
      } else hear(effect);
    }
  };
  const tick = (): void => {
    take({ type: 'tick', at: world.now() });
    node.later(tickUs, tick);
  };
  return {
    view: () => view,
    receive: (from, frame) => node.run(() => take({ type: 'frame', at: world.now(), from, frame })),
    take,
    begin: () => {
      view = freshView();
      tick();
    },
    platformUs: () => (view.offsetUs === undefined ? 0 : Math.max(0, world.now() + view.offsetUs)),
  };
};
