/** A random number in [0, 1) and the next state of the generator. */
export type Drawn = { readonly chance: number; readonly draw: number };

/** The Mulberry32 generator, as a pure function of its state. */
export const nextDraw = (state: number): Drawn => {
  const draw = (state + 0x6d2b79f5) >>> 0;
  let mixed = Math.imul(draw ^ (draw >>> 15), draw | 1);
  mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
  return { chance: ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296, draw };
};

/** The 32-bit FNV-1a hash of a text, over its UTF-16 code units. */
export const drawOf = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1)
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  return hash;
};

/** A random sample without replacement, and the next state of the generator. */
export const someOf = <T>(
  state: number,
  items: readonly T[],
  count: number,
): { readonly some: readonly T[]; readonly draw: number } => {
  const remaining = [...items];
  const some: T[] = [];
  let draw = state;
  while (remaining.length > 0 && some.length < count) {
    const drawn = nextDraw(draw);
    draw = drawn.draw;
    some.push(...remaining.splice(Math.floor(drawn.chance * remaining.length), 1));
  }
  return { some, draw };
};
