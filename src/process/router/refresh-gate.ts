import { steadyNow, toMillis, type Micros } from '../../common/micros.js';
import type { SpreadTask } from '../spread-task.js';

/** Holds new work back after a freeze until setup and list are known to be fresh. */
export type RefreshGate = {
  /** Notes that the process runs; after a long silence the gate shuts. */
  readonly beat: () => void;
  /** Waits for the gate; false when nothing fresh could be had in time. */
  readonly pass: () => Promise<boolean>;
  readonly isShut: () => boolean;
};

const freezeSpanUs: Micros = 700_000;
const passBudgetUs: Micros = 1_500_000;

export const openRefreshGate = (spread: SpreadTask, tellFreeze: (spanUs: Micros) => void): RefreshGate => {
  let beatUs = steadyNow();
  let isShut = false;
  let waiting: ((isOpen: boolean) => void)[] = [];
  spread.events.on('refreshed', () => {
    isShut = false;
    for (const resume of waiting) resume(true);
    waiting = [];
  });
  const beat = (): void => {
    const nowUs = steadyNow();
    const silentUs = nowUs - beatUs;
    beatUs = nowUs;
    if (silentUs < freezeSpanUs) return;
    isShut = true;
    tellFreeze(silentUs);
    spread.refresh();
  };
  return {
    beat,
    isShut: () => isShut,
    pass: () => {
      beat();
      if (!isShut) return Promise.resolve(true);
      return new Promise((resolve) => {
        const budgetTimer = setTimeout(() => resolve(false), toMillis(passBudgetUs));
        waiting.push((isOpen) => {
          clearTimeout(budgetTimer);
          resolve(isOpen);
        });
      });
    },
  };
};
