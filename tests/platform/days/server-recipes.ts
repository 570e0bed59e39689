import type { RandomSource } from '../../../src/common/random.js';
import { between, happens, pick } from './draws.js';
import type { DayFrame, Recipe } from './recipe.js';
import type { Site } from './site.js';
import type { TroubleFields, TroubleList } from './trouble.js';

const plannedKinds: readonly string[] = ['release', 'scale_out', 'scale_in'];
const poolContract = 'pool';

const serviceOf = (chance: RandomSource, { site }: DayFrame): string =>
  site.services[Math.floor(chance() * site.services.length)] ?? '';

const upTo = (chance: RandomSource, value: number): number => between(chance, value / 2, value * 1.5);

const commonRecipes: readonly Recipe[] = [
  {
    kind: 'release',
    list: 'plan',
    draw: (chance) => ({ share: between(chance, 0.2, 1), x: 1, gap_s: between(chance, 0.5, 2) }),
  },
  {
    kind: 'srv_crash',
    list: 'faults',
    draw: (chance, frame) => ({
      service: serviceOf(chance, frame),
      share: between(chance, 0.05, 0.3),
      for_s: between(chance, 2, 8),
      how: pick(chance, ['', 'dark', 'gone']),
    }),
  },
  {
    kind: 'garble',
    list: 'faults',
    draw: (chance) => ({
      share: between(chance, 0.2, 0.8),
      x: between(chance, 0.01, 0.06),
      for_s: between(chance, 3, 15),
      how: pick(chance, ['', 'extra', 'extra late']),
    }),
  },
  {
    kind: 'answer_lost',
    list: 'faults',
    draw: (chance) => ({
      share: between(chance, 0.2, 0.8),
      x: between(chance, 0.01, 0.06),
      for_s: between(chance, 3, 15),
      how: pick(chance, ['', 'reset']),
    }),
  },
  {
    kind: 'replace_with_reuse',
    list: 'faults',
    draw: (chance) => ({ share: between(chance, 0.05, 0.2), how: pick(chance, ['', 'drain', 'dark']) }),
  },
];

const idleRaceRecipe: Recipe = {
  kind: 'idle_race',
  list: 'faults',
  draw: (chance) => ({ share: between(chance, 0.2, 0.8), x: between(chance, 100, 800), for_s: between(chance, 3, 15) }),
};

const serverTroubleForm = /^(srv_|scale_|release$|shift$|burst$|hot_key$|garble$|answer_lost$)/;

const listOf = (kind: string): TroubleList => (plannedKinds.includes(kind) ? 'plan' : 'faults');

/** The deployment's own entry with its span and parts drawn around its figures. */
const variedFields = (chance: RandomSource, entry: TroubleFields): TroubleFields => ({
  ...(entry.for_s === undefined ? {} : { for_s: upTo(chance, entry.for_s) }),
  ...(entry.gap_s === undefined ? {} : { gap_s: upTo(chance, entry.gap_s) }),
  ...(entry.share === undefined ? {} : { share: Math.min(1, upTo(chance, entry.share)) }),
  ...(entry.x === undefined ? {} : { x: entry.x }),
  ...(entry.count === undefined ? {} : { count: entry.count }),
  ...(entry.how === undefined ? {} : { how: entry.how }),
  ...(entry.service === undefined ? {} : { service: entry.service }),
  ...(entry.class === undefined ? {} : { class: entry.class }),
});

const siteRecipes = (site: Site): readonly Recipe[] =>
  site.troubles
    .filter(({ kind }) => serverTroubleForm.test(kind))
    .map((entry) => ({ kind: entry.kind, list: listOf(entry.kind), draw: (chance) => variedFields(chance, entry) }));

/** Troubles of servers and clients: some that every deployment has, and those that this one names itself. */
export const serverRecipes = (site: Site): readonly Recipe[] => [
  ...commonRecipes,
  ...(site.contracts.includes(poolContract) ? [idleRaceRecipe] : []),
  ...siteRecipes(site),
];

/** Whether a day of this draw has troubles of servers at all. */
export const hasServerTroubles = (chance: RandomSource): boolean => happens(chance, 0.6);
