import { steadyNow, toMillis } from '../micros.js';
import type { Clock } from './clock.js';

/**
 * The clock of a real process. What falls due is done at the end of the turn of the event loop in which its timer fires,
 * after what has arrived at the sockets: a process that stood still for want of processor time thus hears what came
 * meanwhile before it takes the other side for silent.
 */
export const steadyClock: Clock = {
  now: steadyNow,
  after: (span, act) => {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
      immediate = setImmediate(act);
    }, toMillis(span));
    return () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    };
  },
};
