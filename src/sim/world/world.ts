import { seededRandom, type RandomSource } from '../../common/random.js';
import type { Micros } from '../../common/micros.js';

/** A virtual world: one time line, one seeded stream of chance, and what is to happen when. */
export type World = {
  readonly now: () => Micros;
  readonly chance: RandomSource;
  readonly after: (span: Micros, act: () => void) => void;
  /** Plays everything that happens before a moment; all that a happening sets going comes to rest before the next one. */
  readonly playUntil: (moment: Micros) => Promise<void>;
};

type Due = { readonly moment: Micros; readonly order: number; readonly act: () => void };

const isBefore = (left: Due, right: Due): boolean =>
  left.moment < right.moment || (left.moment === right.moment && left.order < right.order);

/** Waits until no promise has anything left to do. */
const atRest = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

export const openWorld = (seed: number): World => {
  const chance = seededRandom(seed);
  const heap: Due[] = [];
  let nowUs = 0;
  let order = 0;

  const swap = (left: number, right: number): void => {
    const leftDue = heap[left];
    const rightDue = heap[right];
    if (leftDue === undefined || rightDue === undefined) return;
    heap[left] = rightDue;
    heap[right] = leftDue;
  };
  const isOrdered = (upper: number, lower: number): boolean => {
    const upperDue = heap[upper];
    const lowerDue = heap[lower];
    return upperDue === undefined || lowerDue === undefined || isBefore(upperDue, lowerDue);
  };
  const push = (due: Due): void => {
    heap.push(due);
    for (let place = heap.length - 1; place > 0;) {
      const parent = (place - 1) >> 1;
      if (isOrdered(parent, place)) return;
      swap(parent, place);
      place = parent;
    }
  };
  const pop = (): Due | undefined => {
    const first = heap[0];
    const last = heap.pop();
    if (first === undefined || last === undefined || heap.length === 0) return first;
    heap[0] = last;
    for (let place = 0; ;) {
      const left = place * 2 + 1;
      const least = isOrdered(left, left + 1) ? left : left + 1;
      if (least >= heap.length || isOrdered(place, least)) return first;
      swap(place, least);
      place = least;
    }
  };

  return {
    now: () => nowUs,
    chance,
    after: (span, act) => {
      order += 1;
      push({ moment: nowUs + Math.max(0, Math.round(span)), order, act });
    },
    playUntil: async (moment) => {
      await atRest();
      for (let next = heap[0]; next !== undefined && next.moment <= moment; next = heap[0]) {
        pop();
        nowUs = next.moment;
        next.act();
        await atRest();
      }
      nowUs = Math.max(nowUs, moment);
    },
  };
};
