import type { SlabHandle } from './slab-handle.js';

/** Storage with slot reuse (a generational arena): slots are reused, handles never are. */
export type Slab<T> = {
  /** Stores the value that `make` returns for the new handle. */
  readonly put: (make: (handle: SlabHandle) => T) => T;
  /** The value of a handle; undefined once it was freed. */
  readonly get: (handle: SlabHandle) => T | undefined;
  /** Frees the slot of a handle; no effect if the handle is stale. */
  readonly free: (handle: SlabHandle) => void;
  readonly size: () => number;
  readonly values: () => readonly T[];
};

type Slot<T> = { readonly generation: number; readonly value: T | undefined };

export const openSlab = <T>(): Slab<T> => {
  const slots: Slot<T>[] = [];
  const freeIndexes: number[] = [];
  return {
    put: (make) => {
      const index = freeIndexes.pop() ?? slots.length;
      const generation = (slots[index]?.generation ?? 0) + 1;
      const value = make({ index, generation });
      slots[index] = { generation, value };
      return value;
    },
    get: (handle) => {
      const place = slots[handle.index];
      return place?.generation === handle.generation ? place.value : undefined;
    },
    free: (handle) => {
      const slot = slots[handle.index];
      if (slot?.generation !== handle.generation || slot.value === undefined) return;
      slots[handle.index] = { generation: slot.generation, value: undefined };
      freeIndexes.push(handle.index);
    },
    size: () => slots.length - freeIndexes.length,
    values: () => slots.flatMap((slot) => (slot.value === undefined ? [] : [slot.value])),
  };
};
