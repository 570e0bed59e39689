import type { RandomSource } from '../../../src/common/random.js';
import { between, happens, joinedWords, pick, someWords, wholeBetween } from './draws.js';
import type { DayFrame, Recipe } from './recipe.js';
import type { TroubleFields } from './trouble.js';

const longCutS = 20;
const shortestDownS = 0.4;

const targets = ['', 'leader', 'reader', 'seed'] as const;
const returnWords = ['meet', 'race', 'hard'] as const;
const cutForms = ['', 'one_way', 'reset', 'refuse', 'seeds', 'both', 'seeds both'] as const;

const onReturn = (chance: RandomSource): string => someWords(chance, returnWords, 0.4);

/** How long a machine is down: shorter than the bound on an acknowledgement, and longer. */
const downS = (chance: RandomSource, { site }: DayFrame): number => between(chance, shortestDownS, site.confirmS * 1.5);

/** How many core machines go at once: mostly one, now and then as many as may. */
const lostCount = (chance: RandomSource, { site }: DayFrame): number =>
  happens(chance, 0.5) ? 1 : wholeBetween(chance, 1, Math.max(1, site.toleratedMachines));

const cutS = (chance: RandomSource, { site, lengthS }: DayFrame): number =>
  happens(chance, 0.6) ? Math.min(longCutS, lengthS / 2) : between(chance, site.contactS, longCutS);

const coreKill = (chance: RandomSource, frame: DayFrame): TroubleFields => ({
  on: 'core',
  count: lostCount(chance, frame),
  for_s: downS(chance, frame),
  how: joinedWords(
    happens(chance, 0.5) ? 'power' : '',
    pick(chance, targets),
    onReturn(chance),
    happens(chance, 0.3) ? 'drain' : '',
  ),
});

/** Losses of core machines one at a time or as many as may, each over when its span is: the kinds for successive losses. */
export const coreLossRecipes: readonly [Recipe, ...Recipe[]] = [
  { kind: 'node_kill', list: 'faults', draw: coreKill },
  {
    kind: 'after_ack_kill',
    list: 'faults',
    draw: (chance, frame) => ({
      for_s: downS(chance, frame),
      count: lostCount(chance, frame),
      how: pick(chance, ['', 'kill', 'timed', 'taken']),
    }),
  },
  {
    kind: 'after_ack_wipe',
    list: 'faults',
    draw: (chance, frame) => ({
      for_s: downS(chance, frame),
      count: lostCount(chance, frame),
      how: pick(chance, ['', 'timed', 'taken']),
    }),
  },
  {
    kind: 'replace_core',
    list: 'faults',
    draw: (chance, { site }) => ({ x: between(chance, 0, site.syncS), how: pick(chance, targets) }),
  },
];

/** Core machines cut off from the other core machines, for some twenty seconds above all. */
export const coreCutRecipe: Recipe = {
  kind: 'core_cut',
  list: 'faults',
  draw: (chance, frame) => ({
    count: lostCount(chance, frame),
    for_s: cutS(chance, frame),
    how: joinedWords(pick(chance, cutForms), pick(chance, ['', '', 'leader', 'reader']), onReturn(chance)),
  }),
};

/** Planned work on core machines. */
export const plannedRecipes: readonly [Recipe, ...Recipe[]] = [
  {
    kind: 'replace_core',
    list: 'plan',
    draw: (chance, { site }) => ({ x: between(chance, 0, site.syncS), how: 'planned' }),
  },
  {
    kind: 'roll_term',
    list: 'plan',
    draw: (chance, { site }) => ({
      on: 'core',
      x: 1,
      gap_s: between(chance, 0.5, site.syncS * 1.5),
      how: joinedWords(pick(chance, ['', 'busy']), onReturn(chance), happens(chance, 0.4) ? 'drain' : ''),
    }),
  },
  {
    kind: 'roll_term',
    list: 'plan',
    draw: (chance) => ({
      share: between(chance, 0.2, 1),
      x: 1,
      gap_s: between(chance, 0.5, 2),
      how: pick(chance, ['', 'busy', 'remove']),
    }),
  },
];

/** Troubles of disks, clocks, links and processes that go beside a loss of core machines. */
export const hostRecipes: readonly [Recipe, ...Recipe[]] = [
  {
    kind: 'disk_slow',
    list: 'faults',
    draw: (chance, frame) => ({
      count: lostCount(chance, frame),
      x: between(chance, 5, 60),
      for_s: between(chance, 2, longCutS),
      how: pick(chance, ['', 'leader']),
    }),
  },
  {
    kind: 'disk_stall',
    list: 'faults',
    draw: (chance, frame) => ({
      count: lostCount(chance, frame),
      for_s: downS(chance, frame),
      how: pick(chance, ['', 'leader']),
    }),
  },
  {
    kind: 'disk_full',
    list: 'faults',
    draw: (chance, frame) => ({ count: lostCount(chance, frame), for_s: between(chance, 1, longCutS / 2) }),
  },
  {
    kind: 'clock_step',
    list: 'faults',
    draw: (chance) => ({
      share: between(chance, 0.2, 1),
      x: between(chance, 500, 5000),
      for_s: between(chance, 2, longCutS),
      how: pick(chance, ['back', 'ahead']),
    }),
  },
  {
    kind: 'herd_kill',
    list: 'faults',
    draw: (chance) => ({
      share: between(chance, 0.3, 1),
      for_s: between(chance, shortestDownS, 3),
      how: pick(chance, ['', 'power']),
    }),
  },
  {
    kind: 'herd_kill',
    list: 'faults',
    draw: (chance) => ({
      on: 'core',
      for_s: between(chance, shortestDownS, 1),
      how: pick(chance, ['', 'power', 'taken']),
    }),
  },
  {
    kind: 'node_kill',
    list: 'faults',
    draw: (chance, frame) => ({
      share: between(chance, 0.1, 0.4),
      for_s: downS(chance, frame),
      how: pick(chance, ['', 'power', 'reader']),
    }),
  },
  {
    kind: 'node_cut',
    list: 'faults',
    draw: (chance, frame) => ({
      share: between(chance, 0.1, 0.5),
      for_s: cutS(chance, frame),
      how: pick(chance, ['', '', 'servers']),
    }),
  },
  {
    kind: 'node_freeze',
    list: 'faults',
    draw: (chance, frame) => ({ on: 'core', count: lostCount(chance, frame), for_s: downS(chance, frame) }),
  },
  {
    kind: 'node_freeze',
    list: 'faults',
    draw: (chance, frame) => ({ share: between(chance, 0.1, 0.3), for_s: downS(chance, frame) }),
  },
  {
    kind: 'node_slow',
    list: 'faults',
    draw: (chance, frame) => ({
      on: 'core',
      count: lostCount(chance, frame),
      x: between(chance, 2, 8),
      for_s: between(chance, 2, longCutS / 2),
    }),
  },
  { kind: 'seed_turnover', list: 'faults', draw: () => ({}) },
  { kind: 'hup', list: 'faults', draw: (chance) => ({ share: between(chance, 0.2, 1), gap_s: between(chance, 0, 4) }) },
  {
    kind: 'reset_conns',
    list: 'faults',
    draw: (chance) => ({ share: between(chance, 0.1, 1), x: between(chance, 0.2, 1) }),
  },
];
