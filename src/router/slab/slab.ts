import type { Ticket } from './ticket.js';

/** Continuations by ticket; places are used again, tickets never. */
export type Slab<T> = {
  readonly put: (make: (ticket: Ticket) => T) => T;
  readonly get: (ticket: Ticket) => T | undefined;
  readonly free: (ticket: Ticket) => void;
  readonly size: () => number;
  readonly values: () => readonly T[];
};

type Place<T> = { readonly generation: number; readonly value: T | undefined };

export const openSlab = <T>(): Slab<T> => {
  const places: Place<T>[] = [];
  const freeIndexes: number[] = [];
  return {
    put: (make) => {
      const index = freeIndexes.pop() ?? places.length;
      const generation = (places[index]?.generation ?? 0) + 1;
      const value = make({ index, generation });
      places[index] = { generation, value };
      return value;
    },
    get: (ticket) => {
      const place = places[ticket.index];
      return place?.generation === ticket.generation ? place.value : undefined;
    },
    free: (ticket) => {
      const place = places[ticket.index];
      if (place?.generation !== ticket.generation || place.value === undefined) return;
      places[ticket.index] = { generation: place.generation, value: undefined };
      freeIndexes.push(ticket.index);
    },
    size: () => places.length - freeIndexes.length,
    values: () => places.flatMap((place) => (place.value === undefined ? [] : [place.value])),
  };
};
