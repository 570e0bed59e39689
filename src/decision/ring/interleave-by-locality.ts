import type { ServerKey } from '../../servers/list/server-key.js';

/** The number of servers in each locality. */
export type LocalitySizes = ReadonlyMap<string, number>;

/** The owners of one locality: walked but not yielded (`waiting`), number left to yield, and number yielded (`count`). */
type Turn = { readonly waiting: { readonly owner: ServerKey; readonly order: number }[]; left: number; count: number };

/**
 * Yields the owners of a position in failover order: the first owner on the ring, then always the next on the ring from
 * the locality with the fewest owners so far. The loss of one locality thus never takes out all the next owners of a
 * prefix, unless all servers are in one. Walks the ring only as far as the consumer asks.
 */
export function* interleaveByLocality(
  ringWalk: Iterable<ServerKey>,
  localityOf: (owner: ServerKey) => string,
  sizes: LocalitySizes,
): Generator<ServerKey, void> {
  const turns = new Map<string, Turn>(
    [...sizes].map(([locality, size]) => [locality, { waiting: [], left: size, count: 0 }]),
  );
  const walk = ringWalk[Symbol.iterator]();
  let walkedCount = 0;
  const walkNext = (): boolean => {
    const next = walk.next();
    if (next.done === true) return false;
    turns.get(localityOf(next.value))?.waiting.push({ owner: next.value, order: walkedCount });
    walkedCount += 1;
    return true;
  };
  for (;;) {
    const unfinishedTurns = [...turns.values()].filter((turn) => turn.left > 0);
    const minCount = unfinishedTurns.reduce((least, turn) => Math.min(least, turn.count), Number.POSITIVE_INFINITY);
    const nextTurns = unfinishedTurns.filter((turn) => turn.count === minCount);
    if (nextTurns.length === 0) return;
    while (nextTurns.every((turn) => turn.waiting.length === 0)) if (!walkNext()) return;
    const nextTurn = nextTurns.reduce((first, turn) =>
      (turn.waiting[0]?.order ?? Number.POSITIVE_INFINITY) < (first.waiting[0]?.order ?? Number.POSITIVE_INFINITY)
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
