import { randomItem, seededRandom, randomBelow, type RandomSource } from '../../src/common/random.js';
import type { PolledList } from '../../src/servers/list/polled-list.js';
import type { ListedServer } from '../../src/servers/list/listed-server.js';
import { polledListOf } from '../../src/servers/list/merge-lists.js';

const randomStamp = (chance: RandomSource): number => 1_000_000_000_000 + randomBelow(chance, 5) * 1_000;

const randomServer = (chance: RandomSource, id: string): ListedServer => {
  const state = randomItem(chance, ['up', 'leaving', 'gone'] as const) ?? 'up';
  return {
    id,
    incarnation: id,
    service: 'model',
    address: `10.0.0.${randomBelow(chance, 2)}:80`,
    locality: 'a',
    listedAtUs: randomStamp(chance),
    state,
    ...(state === 'leaving' || (state === 'gone' && chance() < 0.5) ? { leavingAtUs: randomStamp(chance) } : {}),
    ...(state === 'gone' ? { goneAtUs: randomStamp(chance) } : {}),
    ...(chance() < 0.5 ? { slots: randomBelow(chance, 3) } : {}),
    ...(chance() < 0.5 ? { weights: `w${randomBelow(chance, 2)}`, weightsAtUs: randomStamp(chance) } : {}),
  };
};

/** Random polled lists over the same few servers, with differing states, stamps and weights. */
export const randomLists = (seed: number, count: number): readonly PolledList[] => {
  const chance = seededRandom(seed);
  return Array.from({ length: count }, () =>
    polledListOf(
      ['a', 'b', 'c', 'd'].filter(() => chance() < 0.7).map((id) => randomServer(chance, id)),
      randomStamp(chance),
    ),
  );
};
