import { monotonicNow, toMillis } from '../micros.js';
import type { Clock } from './clock.js';

/**
 * The clock of a real process. A callback runs in the check phase of the event loop iteration in which its timer fires,
 * after the sockets have been read: a process that was starved of processor time handles the messages that arrived
 * meanwhile before a time-out declares their sender silent.
 */
export const monotonicClock: Clock = {
  now: monotonicNow,
  after: (delayUs, act) => {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
      immediate = setImmediate(act);
    }, toMillis(delayUs));
    return () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    };
  },
};
