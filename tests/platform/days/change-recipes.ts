import { between, happens, pick, rounded, wholeBetween } from './draws.js';
import type { Recipe } from './recipe.js';

const fewestStormChanges = 100;
const mostStormChanges = 500;
const shortestStormGapS = 0.05;
const mostAddedRoutes = 1500;

const invalidForms = [
  '',
  'cut_short',
  'unknown_service',
  'same_place',
  'no_weight',
  'no_timeout',
  'old_version',
  'same_version',
  'stale_match',
  'shared_key',
] as const;

/** Hundreds of changes one after another, through as much of the day as they take. */
export const stormRecipe: Recipe = {
  kind: 'config_storm',
  list: 'plan',
  draw: (chance, { lengthS }) => {
    const count = wholeBetween(chance, fewestStormChanges, mostStormChanges);
    const spanS = lengthS * between(chance, 0.5, 0.9);
    return { count, gap_s: Math.max(shortestStormGapS, rounded(spanS / count)) };
  },
};

/** Acknowledgements that are lost, so that the operator sends the same changes again. */
export const lostAcknowledgementRecipe: Recipe = {
  kind: 'ack_lost',
  list: 'faults',
  draw: (chance, { lengthS }) => ({ x: between(chance, 0.3, 0.9), for_s: between(chance, lengthS / 4, lengthS * 0.8) }),
};

/** Changes of the configuration: single ones, races, large and invalid ones. */
export const changeRecipes: readonly [Recipe, ...Recipe[]] = [
  {
    kind: 'config_change',
    list: 'plan',
    draw: (chance) => ({ how: pick(chance, ['route', 'weights', 'timeout', 'idle']) }),
  },
  {
    kind: 'config_race',
    list: 'plan',
    draw: (chance) => ({ count: wholeBetween(chance, 1, 8), gap_s: between(chance, 0.3, 2) }),
  },
  {
    kind: 'config_storm',
    list: 'plan',
    draw: (chance) => ({ for_s: between(chance, 2, 8), gap_s: between(chance, shortestStormGapS, 0.4) }),
  },
  {
    kind: 'bad_config',
    list: 'plan',
    draw: (chance) => {
      const how = pick(chance, invalidForms);
      const figures = { count: wholeBetween(chance, 1, 9), gap_s: between(chance, 0.3, 2) };
      return how === '' ? figures : { ...figures, how };
    },
  },
  { kind: 'big_config', list: 'plan', draw: (chance) => ({ count: wholeBetween(chance, 50, mostAddedRoutes) }) },
  {
    kind: 'ack_lost',
    list: 'faults',
    draw: (chance) => ({ x: between(chance, 0.3, 1), for_s: between(chance, 4, happens(chance, 0.5) ? 8 : 20) }),
  },
];
