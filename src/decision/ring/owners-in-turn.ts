import type { ServerKey } from '../../servers/list/server-key.js';

/** Locality and number of its servers. */
export type LocalitySizes = ReadonlyMap<string, number>;

type Turn = { readonly waiting: { readonly owner: ServerKey; readonly met: number }[]; left: number; count: number };

/**
 * The owners of a position in the order in which work falls back on them: the ring's own first, then always the next on
 * the ring of the locality that has come least often so far. One lost locality thus never takes an opening's next owners
 * all at once, wherever servers stand in more than one. Walks the ring only as far as it is asked for owners.
 */
export function* ownersInTurn(
  walkedOwners: Iterable<ServerKey>,
  localityOf: (owner: ServerKey) => string,
  sizes: LocalitySizes,
): Generator<ServerKey, void> {
  const turns = new Map<string, Turn>(
    [...sizes].map(([locality, size]) => [locality, { waiting: [], left: size, count: 0 }]),
  );
  const walk = walkedOwners[Symbol.iterator]();
  let metCount = 0;
  const walkOn = (): boolean => {
    const next = walk.next();
    if (next.done === true) return false;
    turns.get(localityOf(next.value))?.waiting.push({ owner: next.value, met: metCount });
    metCount += 1;
    return true;
  };
  for (;;) {
    const openTurns = [...turns.values()].filter((turn) => turn.left > 0);
    const leastCount = openTurns.reduce((least, turn) => Math.min(least, turn.count), Number.POSITIVE_INFINITY);
    const nextTurns = openTurns.filter((turn) => turn.count === leastCount);
    if (nextTurns.length === 0) return;
    while (nextTurns.every((turn) => turn.waiting.length === 0)) if (!walkOn()) return;
    const nextTurn = nextTurns.reduce((first, turn) =>
      (turn.waiting[0]?.met ?? Number.POSITIVE_INFINITY) < (first.waiting[0]?.met ?? Number.POSITIVE_INFINITY)
        ? turn
        : first,
    );
    const next = nextTurn.waiting.shift();
    if (next === undefined) return;
    nextTurn.left -= 1;
    nextTurn.count += 1;
    yield next.owner;
  }
}
