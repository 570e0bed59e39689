import type { Micros } from '../../common/micros.js';
import type { World } from './world.js';

/** One direction of a TCP connection: in order, and silent once it is cut. */
export type Channel = {
  readonly send: (act: () => void) => void;
};

const leastDelayUs = 200;
const moreDelayUs = 1_200;

export const openChannel = (world: World, isCut: () => boolean): Channel => {
  let lastUs: Micros = 0;
  let isBroken = false;
  return {
    send: (act) => {
      isBroken ||= isCut();
      if (isBroken) return;
      const arrivalUs = Math.max(lastUs + 1, world.now() + leastDelayUs + Math.floor(world.chance() * moreDelayUs));
      lastUs = arrivalUs;
      world.after(arrivalUs - world.now(), act);
    },
  };
};
