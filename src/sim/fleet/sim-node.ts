import type { Micros } from '../../common/micros.js';
import type { World } from '../world/world.js';

/** The life of a process in the virtual world: it can be killed, frozen and woken. */
export type SimNode = {
  readonly isUp: () => boolean;
  readonly isFrozen: () => boolean;
  readonly boot: () => number;
  /** Does something as this process, now or when it wakes; never in a later life. */
  readonly run: (act: () => void) => void;
  /** Does something as this process after a while. */
  readonly later: (span: Micros, act: () => void) => void;
  readonly begin: () => void;
  readonly kill: () => void;
  readonly freeze: () => void;
  readonly wake: () => void;
};

export const openSimNode = (world: World): SimNode => {
  let boot = 0;
  let isUp = false;
  let isFrozen = false;
  let backlog: (() => void)[] = [];
  const run = (act: () => void): void => {
    if (!isUp) return;
    if (isFrozen) backlog.push(act);
    else act();
  };
  return {
    isUp: () => isUp,
    isFrozen: () => isFrozen,
    boot: () => boot,
    run,
    later: (span, act) => {
      const ownBoot = boot;
      world.after(span, () => {
        if (boot === ownBoot) run(act);
      });
    },
    begin: () => {
      boot += 1;
      isUp = true;
      isFrozen = false;
    },
    kill: () => {
      isUp = false;
      isFrozen = false;
      boot += 1;
      backlog = [];
    },
    freeze: () => {
      isFrozen = isUp;
    },
    wake: () => {
      if (!isFrozen) return;
      isFrozen = false;
      const held = backlog;
      backlog = [];
      held.forEach(run);
    },
  };
};
