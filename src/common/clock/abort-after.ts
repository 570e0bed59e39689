import type { Micros } from '../micros.js';
import type { Clock } from './clock.js';

/** A signal that aborts a call, and what takes that back once the call has ended. */
export type AbortTimer = { readonly signal: AbortSignal; readonly takeBack: () => void };

/** Aborts after a span of the clock; what has arrived by then is heard first, unlike with the runtime's own time-out. */
export const abortAfter = (clock: Clock, span: Micros): AbortTimer => {
  const aborter = new AbortController();
  return { signal: aborter.signal, takeBack: clock.after(span, () => aborter.abort()) };
};
