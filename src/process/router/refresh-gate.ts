import { maxClockStepUs } from '../../common/clock/time-bound.js';
import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';
import type { GossipTask } from '../gossip-task.js';

/** Holds back new work after the process was frozen, until the configuration and the server list have been refreshed. */
export type RefreshGate = {
  /** Waits until the gate is open; false if the refresh does not complete within the time limit. */
  readonly waitUntilOpen: () => Promise<boolean>;
  /** Each call checks for a freeze itself, because after one, sockets may be read before any timer runs. */
  readonly isShut: () => boolean;
};

const maxWaitUs: Micros = 1_500_000;

/** Opens the gate of one process; `onFreeze` is called with the length of each detected freeze. */
export const openRefreshGate = (
  spread: GossipTask,
  clock: Clock,
  onFreeze: (frozenUs: Micros) => void,
): RefreshGate => {
  let lastCheckUs = clock.now();
  let isShut = false;
  let waiters: ((isOpen: boolean) => void)[] = [];
  const look = (): boolean => {
    const nowUs = clock.now();
    const silentUs = nowUs - lastCheckUs;
    lastCheckUs = nowUs;
    if (silentUs >= maxClockStepUs) {
      isShut = true;
      onFreeze(silentUs);
      spread.refresh();
    }
    return isShut;
  };
  spread.events.on('refreshed', () => {
    isShut = false;
    if (look()) return;
    const resumed = waiters;
    waiters = [];
    for (const resume of resumed) resume(true);
  });
  return {
    isShut: look,
    waitUntilOpen: () => {
      if (!look()) return Promise.resolve(true);
      return new Promise((resolve) => {
        const cancelTimer = clock.after(maxWaitUs, () => resolve(false));
        waiters.push((isOpen) => {
          cancelTimer();
          resolve(isOpen);
        });
      });
    },
  };
};
