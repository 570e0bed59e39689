import { untilNextMultiple } from '../../common/clock/every.js';
import type { Clock } from '../../common/clock/clock.js';
import type { Micros } from '../../common/micros.js';

/** Schedules the ticks that advance the time of the decision machine. */
export type TickScheduler = {
  /** Moves the next tick forward if a timer of the machine is now due earlier; call after each event. */
  readonly scheduleNext: () => void;
  readonly start: () => void;
  readonly close: () => void;
};

/** The longest interval between ticks. */
const maxTickIntervalUs: Micros = 100_000;
/** The shortest interval between ticks; timers due within it are handled by one tick. */
const minTickIntervalUs: Micros = 5_000;
/** Lateness beyond this is attributed to a stall of this process or its processor. */
const toleratedLatenessUs: Micros = 20_000;

/**
 * Opens the ticks of one machine. They coincide with the other periodic work of the process, or come earlier if a timer of the
 * machine is due. `tick` gets the current time and by how much a stall of the process delayed it.
 */
export const openTickScheduler = (
  clock: Clock,
  wakeUs: () => Micros,
  tick: (nowUs: Micros, lateUs: Micros) => void,
): TickScheduler => {
  let cancelTimer = (): void => undefined;
  let plannedUs = Number.POSITIVE_INFINITY;
  let isStarted = false;

  const run = (): void => {
    const nowUs = clock.now();
    const lateUs = Math.max(0, nowUs - plannedUs - toleratedLatenessUs);
    plannedUs = Number.POSITIVE_INFINITY;
    tick(nowUs, lateUs);
  };

  const scheduleNext = (): void => {
    if (!isStarted) return;
    const nowUs = clock.now();
    const latestUs = nowUs + untilNextMultiple(nowUs, maxTickIntervalUs);
    const dueUs = Math.min(latestUs, Math.max(nowUs + minTickIntervalUs, wakeUs()));
    if (dueUs >= plannedUs) return;
    cancelTimer();
    plannedUs = dueUs;
    cancelTimer = clock.after(dueUs - nowUs, run);
  };

  return {
    scheduleNext: scheduleNext,
    start: () => {
      isStarted = true;
      scheduleNext();
    },
    close: () => {
      isStarted = false;
      cancelTimer();
    },
  };
};
