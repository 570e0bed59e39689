import { longestStepUs } from '../../common/clock/time-bound.js';
import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { SpreadTask } from '../spread-task.js';

/** Holds new work back after a freeze until setup and list are known to be fresh. */
export type RefreshGate = {
  /** Waits for the gate; false when nothing fresh could be had in time. */
  readonly pass: () => Promise<boolean>;
  /** Every look measures the silence itself: news may be read before any timer has run. */
  readonly isShut: () => boolean;
};

const passBudgetUs: Micros = 1_500_000;

export const openRefreshGate = (
  spread: SpreadTask,
  clock: Clock,
  tellFreeze: (spanUs: Micros) => void,
): RefreshGate => {
  let lookedUs = clock.now();
  let isShut = false;
  let waiting: ((isOpen: boolean) => void)[] = [];
  const look = (): boolean => {
    const nowUs = clock.now();
    const silentUs = nowUs - lookedUs;
    lookedUs = nowUs;
    if (silentUs >= longestStepUs) {
      isShut = true;
      tellFreeze(silentUs);
      spread.refresh();
    }
    return isShut;
  };
  spread.events.on('refreshed', () => {
    isShut = false;
    if (look()) return;
    const resumes = waiting;
    waiting = [];
    for (const resume of resumes) resume(true);
  });
  return {
    isShut: look,
    pass: () => {
      if (!look()) return Promise.resolve(true);
      return new Promise((resolve) => {
        const takeBack = clock.after(passBudgetUs, () => resolve(false));
        waiting.push((isOpen) => {
          takeBack();
          resolve(isOpen);
        });
      });
    },
  };
};
