import type { EngineOrder } from './engine-order.js';
import type { EngineRun } from './engine-run.js';
import type { EngineView } from './engine-view.js';
import type { KeptPart } from './kept-part.js';

type Kept = ReadonlyMap<string, KeptPart>;

/** What was read with other weights is of no use. */
const keyOf = (version: number, part: string): string => `${version} ${part}`;

/** The parts at the beginning of a prompt that are kept, up to the first that is not. */
export const keptOf = (
  { kept, version }: Pick<EngineView, 'kept' | 'version'>,
  { opening }: EngineOrder,
): readonly string[] => {
  const keys = opening.map(({ part }) => keyOf(version, part));
  const firstGap = keys.findIndex((key) => !kept.has(key));
  return firstGap < 0 ? keys : keys.slice(0, firstGap);
};

export const tokensOf = (kept: Kept, parts: readonly string[]): number =>
  parts.reduce((sum, part) => sum + (kept.get(part)?.tokens ?? 0), 0);

/** Counts a user more, and moves the parts to the newest place. */
export const pin = (kept: Kept, parts: readonly string[]): Kept => {
  const pinned = new Map(kept);
  for (const part of parts) {
    const known = pinned.get(part);
    if (known === undefined) continue;
    pinned.delete(part);
    pinned.set(part, { ...known, users: known.users + 1 });
  }
  return pinned;
};

/** Counts a user less; the last parts of a prompt give way before the first. */
export const unpin = (kept: Kept, parts: readonly string[]): Kept => {
  const unpinned = new Map(kept);
  for (const part of [...parts].reverse()) {
    const known = unpinned.get(part);
    if (known === undefined) continue;
    unpinned.delete(part);
    unpinned.set(part, { ...known, users: known.users - 1 });
  }
  return unpinned;
};

const sumOf = (figures: Iterable<number>): number => [...figures].reduce((sum, figure) => sum + figure, 0);

/** What can not give way. */
export const heldTokens = ({ kept, batch }: Pick<EngineView, 'kept' | 'batch'>): number =>
  sumOf(batch.map((run) => run.ownTokens)) +
  sumOf([...kept.values()].map((part) => (part.users > 0 ? part.tokens : 0)));

export const usedTokens = ({ kept, batch }: Pick<EngineView, 'kept' | 'batch'>): number =>
  sumOf(batch.map((run) => run.ownTokens)) + sumOf([...kept.values()].map((part) => part.tokens));

/** Lets the longest unused parts go until so many tokens are free, or nothing more can go. */
export const freed = (view: EngineView, wanted: number): EngineView => {
  let free = view.figures.memoryTokens - usedTokens(view);
  if (free >= wanted) return view;
  const kept = new Map(view.kept);
  for (const [part, { tokens, users }] of view.kept) {
    if (free >= wanted) break;
    if (users > 0) continue;
    kept.delete(part);
    free += tokens;
  }
  return { ...view, kept };
};

/** A prompt has been read: its parts are kept from now on, each once. */
export const shared = (
  { kept, version }: Pick<EngineView, 'kept' | 'version'>,
  run: EngineRun,
): { readonly kept: Kept; readonly run: EngineRun } => {
  const added = new Map(kept);
  const pinned = [...run.pinned];
  let ownTokens = run.ownTokens;
  for (const { part, tokens } of run.order.opening.slice(run.pinned.length)) {
    const key = keyOf(version, part);
    const known = added.get(key);
    added.delete(key);
    added.set(key, { tokens: known?.tokens ?? tokens, users: (known?.users ?? 0) + 1 });
    ownTokens -= tokens;
    pinned.push(key);
  }
  return { kept: added, run: { ...run, pinned, ownTokens: Math.max(0, ownTokens) } };
};
