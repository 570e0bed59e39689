import { monotonicNow, toMillis } from '../../../src/common/micros.js';

/** Plays a machine on virtual time in real time: wakes it when something falls due. */
export const drive = <Event, Effect>(
  step: (event: Event) => { readonly effects: readonly Effect[]; readonly dueUs: number | undefined },
  timeAt: (at: number) => Event,
  tell: (effect: Effect) => void,
): { readonly take: (make: (at: number) => Event) => void; readonly close: () => void } => {
  const bornUs = monotonicNow();
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;
  const take = (make: (at: number) => Event): void => {
    if (isClosed) return;
    const { effects, dueUs } = step(make(monotonicNow() - bornUs));
    effects.forEach(tell);
    clearTimeout(timer);
    if (dueUs !== undefined)
      timer = setTimeout(() => take(timeAt), toMillis(Math.max(0, dueUs - (monotonicNow() - bornUs))));
  };
  return {
    take,
    close: () => {
      isClosed = true;
      clearTimeout(timer);
    },
  };
};
