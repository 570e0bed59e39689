/** A stream of chance that is part of a view: the next draw from 0 up to 1, and what the stream goes on from. */
export type Drawn = { readonly chance: number; readonly draw: number };

export const nextDraw = (state: number): Drawn => {
  const draw = (state + 0x6d2b79f5) >>> 0;
  let mixed = Math.imul(draw ^ (draw >>> 15), draw | 1);
  mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
  return { chance: ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296, draw };
};

/** Where the stream of a name begins; also a short hash of a text. */
export const drawOf = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let place = 0; place < text.length; place += 1)
    hash = Math.imul(hash ^ text.charCodeAt(place), 0x01000193) >>> 0;
  return hash;
};

/** Some items by chance, each at most once. */
export const someOf = <T>(
  state: number,
  items: readonly T[],
  count: number,
): { readonly some: readonly T[]; readonly draw: number } => {
  const left = [...items];
  const some: T[] = [];
  let draw = state;
  while (left.length > 0 && some.length < count) {
    const drawn = nextDraw(draw);
    draw = drawn.draw;
    some.push(...left.splice(Math.floor(drawn.chance * left.length), 1));
  }
  return { some, draw };
};
