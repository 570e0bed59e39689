import { randomItem } from '../../common/random.js';
import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { OutageType } from '../../rehearsal/history/outage-type.js';
import type { World } from '../world/world.js';
import type { SimLife } from './sim-life.js';

/** A machine with one process in the virtual world: it can be killed, frozen and woken, and has a steady clock of its own. */
export type SimNode = {
  readonly isUp: () => boolean;
  readonly isFrozen: () => boolean;
  readonly boot: () => number;
  /** Does what news from outside makes the present life do. */
  readonly hear: (act: () => void) => void;
  /** Begins a new life of the process. */
  readonly begin: () => SimLife;
  readonly kill: () => void;
  readonly freeze: () => void;
  readonly wake: () => void;
  /** Lets the steady clock run fast or slow from now on, in parts of a million. */
  readonly drift: (partsPerMillion: number) => void;
  /** Lets the steady clock jump on. */
  readonly jump: (span: Micros) => void;
  /** At how many moments timers have woken the process, over all its lives. */
  readonly timerWakeUps: () => number;
};

type Held = { readonly source: 'timer' | 'news'; readonly act: () => void };

const mostEpochUs = 3_600_000_000;

/** Hears when a process is hit and when it is whole again. */
export type TellOutage = (type: 'begins' | 'ends', what: OutageType) => void;

export const openSimNode = (world: World, tell: TellOutage = () => undefined): SimNode => {
  let boot = 0;
  let isUp = false;
  let isFrozen = false;
  let backlog: Held[] = [];
  let timerWakeUps = 0;
  let wokenUs: Micros | undefined;
  let rate = 1;
  let sinceUs = world.now();
  let atSinceUs = Math.round(world.chance() * mostEpochUs);

  const now = (): Micros => Math.round(atSinceUs + (world.now() - sinceUs) * rate);
  const setClock = (newRate: number, jumpUs: Micros): void => {
    atSinceUs = now() + jumpUs;
    sinceUs = world.now();
    rate = newRate;
  };

  const lifeOf = (ownBoot: number): SimLife => {
    const run = (source: Held['source'], act: () => void): void => {
      if (!isUp || boot !== ownBoot) return;
      if (isFrozen) backlog.push({ source, act });
      else act();
    };
    const clock: Clock = {
      now,
      after: (span, act) => {
        let isTakenBack = false;
        world.after(span / rate, () =>
          run('timer', () => {
            if (isTakenBack) return;
            if (wokenUs !== world.now()) timerWakeUps += 1;
            wokenUs = world.now();
            act();
          }),
        );
        return () => {
          isTakenBack = true;
        };
      },
    };
    return { isOver: () => !isUp || boot !== ownBoot, clock, hear: (act) => run('news', act) };
  };

  return {
    isUp: () => isUp,
    isFrozen: () => isFrozen,
    boot: () => boot,
    hear: (act) => lifeOf(boot).hear(act),
    begin: () => {
      tell('ends', 'down');
      boot += 1;
      isUp = true;
      isFrozen = false;
      backlog = [];
      return lifeOf(boot);
    },
    kill: () => {
      tell('ends', 'frozen');
      tell('begins', 'down');
      isUp = false;
      isFrozen = false;
      boot += 1;
      backlog = [];
    },
    freeze: () => {
      if (!isUp) return;
      isFrozen = true;
      tell('begins', 'frozen');
    },
    wake: () => {
      if (!isFrozen) return;
      isFrozen = false;
      tell('ends', 'frozen');
      const held = backlog;
      backlog = [];
      const ownBoot = boot;
      const firstSource = randomItem(world.chance, ['timer', 'news'] as const);
      const inOrder = [
        ...held.filter(({ source }) => source === firstSource),
        ...held.filter(({ source }) => source !== firstSource),
      ];
      for (const { act } of inOrder)
        world.after(0, () => {
          if (boot === ownBoot) act();
        });
    },
    drift: (partsPerMillion) => setClock(1 + partsPerMillion / 1_000_000, 0),
    jump: (span) => setClock(rate, span),
    timerWakeUps: () => timerWakeUps,
  };
};
