import type { ServerKey } from '../../servers/list/server-key.js';
import type { ServiceStage } from '../timeline/service-stage.js';
import { sizesOf } from './across-localities.js';
import { ownersInTurn, type LocalitySizes } from './owners-in-turn.js';
import type { Position } from './position.js';
import { ringOwners, vnodeIndexAt, walkedOwners } from './ring.js';

type Kept = { readonly sizes: LocalitySizes; readonly first: Map<number, readonly ServerKey[]> };

/** At most so many owners are kept for a vnode; those behind them are walked for anew. */
const keptOwners = 8;

/** What is known of a stage goes with it: at most `keptOwners` names for each of its vnodes. */
const keptByStage = new WeakMap<ServiceStage, Kept>();

const localityIn =
  (stage: ServiceStage) =>
  (owner: ServerKey): string =>
    stage.localities.get(owner) ?? '';

const keptOf = (stage: ServiceStage): Kept => {
  const known = keptByStage.get(stage);
  if (known !== undefined) return known;
  const kept: Kept = { sizes: sizesOf(ringOwners(stage.ring), localityIn(stage)), first: new Map() };
  keptByStage.set(stage, kept);
  return kept;
};

function* firstThenRest(first: readonly ServerKey[], rest: () => Iterable<ServerKey>): Generator<ServerKey, void> {
  yield* first;
  if (first.length < keptOwners) return;
  let place = 0;
  for (const owner of rest()) {
    if (place >= first.length) yield owner;
    place += 1;
  }
}

/** The owners of a position across localities: the first few at hand, all of them by a walk that goes as far as needed. */
export const ownersAt = (
  stage: ServiceStage,
  position: Position,
): { readonly first: readonly ServerKey[]; readonly all: () => Iterable<ServerKey> } => {
  const kept = keptOf(stage);
  const vnodeIndex = vnodeIndexAt(stage.ring, position);
  const walk = (): Iterable<ServerKey> =>
    ownersInTurn(walkedOwners(stage.ring, vnodeIndex), localityIn(stage), kept.sizes);
  const known = kept.first.get(vnodeIndex);
  const first = known ?? [...taken(walk(), keptOwners)];
  if (known === undefined) kept.first.set(vnodeIndex, first);
  return { first, all: () => firstThenRest(first, walk) };
};

function* taken(owners: Iterable<ServerKey>, count: number): Generator<ServerKey, void> {
  let place = 0;
  for (const owner of owners) {
    yield owner;
    place += 1;
    if (place >= count) return;
  }
}
