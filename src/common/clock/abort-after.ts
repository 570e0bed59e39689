import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/** A signal that aborts a call when its timer expires, and a function that cancels the timer. */
export type AbortTimer = { readonly signal: AbortSignal; readonly cancel: () => void };

/**
 * Aborts after a duration. Unlike with AbortSignal.timeout, input that arrived before the deadline is processed first.
 */
export const abortAfter = (clock: Clock, delayUs: Micros): AbortTimer => {
  const controller = new AbortController();
  return { signal: controller.signal, cancel: clock.after(delayUs, () => controller.abort()) };
};
