/** The index of a slot and its generation at insertion. A handle is stale once its slot was freed. */
export type SlabHandle = {
  readonly index: number;
  readonly generation: number;
};

/** A text that is unique among the handles of one slab. */
export const handleText = (handle: SlabHandle): string => `${handle.index}.${handle.generation}`;
