/** A random number in [0, 1) and the next state of the generator. */
export type RandomDraw = { readonly chance: number; readonly state: number };

/** The Mulberry32 generator, as a pure function of its state. */
export const nextRandom = (previousState: number): RandomDraw => {
  const state = (previousState + 0x6d2b79f5) >>> 0;
  let mixed = Math.imul(state ^ (state >>> 15), state | 1);
  mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
  return { chance: ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296, state };
};

/** The 32-bit FNV-1a hash of a text, over its UTF-16 code units. */
export const hashOf = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  return hash;
};

/** A random sample without replacement, and the next state of the generator. */
export const randomSample = <T>(
  initialState: number,
  items: readonly T[],
  count: number,
): { readonly sample: readonly T[]; readonly state: number } => {
  const remaining = [...items];
  const sample: T[] = [];
  let state = initialState;
  while (remaining.length > 0 && sample.length < count) {
    const drawn = nextRandom(state);
    state = drawn.state;
    sample.push(...remaining.splice(Math.floor(drawn.chance * remaining.length), 1));
  }
  return { sample, state };
};
