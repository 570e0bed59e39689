import { seededRandom, type RandomSource } from '../../../src/common/random.js';
import { changeRecipes, lostAcknowledgementRecipe, stormRecipe } from './change-recipes.js';
import { between, happens, joinedWords, pick, rounded, wholeBetween } from './draws.js';
import { coreCutRecipe, coreLossRecipes, hostRecipes, plannedRecipes } from './machine-recipes.js';
import type { DayFrame, Recipe } from './recipe.js';
import { hasServerTroubles, serverRecipes } from './server-recipes.js';
import type { Site } from './site.js';
import type { Closing, Day, Trouble, TroubleList } from './trouble.js';

/** The longest day that is drawn. */
export const longestDayS = 120;

const firstAtS = 1;
/** Nothing begins so shortly before the end. */
const quietEndS = 2;
const greatestSeed = 2 ** 28;
/** Spreads the days of neighbouring seeds over the whole range of the stream's states. */
const dayStride = 0x9e3779b1;

type Placed = { readonly list: TroubleList; readonly trouble: Trouble };
type DayPart = (chance: RandomSource, frame: DayFrame) => readonly Placed[];

const lastAtS = ({ lengthS }: DayFrame): number => lengthS - quietEndS;

const placed = (chance: RandomSource, frame: DayFrame, recipe: Recipe, atS: number): Placed => ({
  list: recipe.list,
  trouble: { at: rounded(atS), kind: recipe.kind, ...recipe.draw(chance, frame) },
});

const anywhere = (chance: RandomSource, frame: DayFrame, recipe: Recipe): Placed =>
  placed(chance, frame, recipe, between(chance, firstAtS, lastAtS(frame)));

const several = (
  chance: RandomSource,
  frame: DayFrame,
  recipes: readonly [Recipe, ...Recipe[]],
  least: number,
  most: number,
): readonly Placed[] =>
  Array.from({ length: wholeBetween(chance, least, most) }, () => anywhere(chance, frame, pick(chance, recipes)));

/** How long the machine of a loss is gone by the entry itself. */
const lostForS = ({ for_s: forS, x = 0, kind }: Trouble): number => forS ?? (kind === 'replace_core' ? x : 0);

/** Losses of core machines one after another, each about when the machine of the last has had its time to catch up. */
const successiveLosses: DayPart = (chance, frame) => {
  const losses: Placed[] = [];
  let atS = between(chance, firstAtS, frame.site.contactS + frame.site.syncS);
  while (atS <= lastAtS(frame)) {
    const loss = placed(chance, frame, pick(chance, coreLossRecipes), atS);
    losses.push(loss);
    const lateS = between(chance, -1, happens(chance, 0.7) ? 1 : frame.site.syncS);
    atS += Math.max(firstAtS, lostForS(loss.trouble) + frame.site.syncS + lateS);
  }
  return losses;
};

/** Long cuts, with the same again some time after each has ended. */
const longCuts: DayPart = (chance, frame) => {
  const cuts: Placed[] = [];
  let atS = between(chance, firstAtS, frame.site.syncS * 2);
  while (atS <= lastAtS(frame)) {
    const cut = placed(chance, frame, coreCutRecipe, atS);
    cuts.push(cut);
    atS += lostForS(cut.trouble) + between(chance, 0, frame.site.syncS * 2);
  }
  return cuts;
};

/** A storm of changes from near the beginning on, with lost acknowledgements and losses of core machines in it. */
const storm: DayPart = (chance, frame) => [
  placed(chance, frame, stormRecipe, between(chance, firstAtS, firstAtS * 5)),
  placed(chance, frame, lostAcknowledgementRecipe, between(chance, firstAtS, frame.lengthS / 3)),
  ...several(chance, frame, coreLossRecipes, 1, 4),
];

/** Replacements and restarts, planned and unplanned, one after another. */
const replacements: DayPart = (chance, frame) => [
  ...several(chance, frame, plannedRecipes, 2, 4),
  ...several(chance, frame, coreLossRecipes, 2, 4),
];

/** Everything at once, drawn by lot. */
const mixed: DayPart = (chance, frame) => [
  ...several(chance, frame, [coreCutRecipe, ...coreLossRecipes, ...plannedRecipes], 3, 8),
  ...(happens(chance, 0.5) ? storm(chance, frame) : []),
];

type Theme = readonly [name: string, draw: DayPart];

const themes: readonly [Theme, ...Theme[]] = [
  ['losses', successiveLosses],
  ['cuts', longCuts],
  ['storm', storm],
  ['replacements', replacements],
  ['mixed', mixed],
];

const serverPart: DayPart = (chance, frame) => {
  const [first, ...others] = serverRecipes(frame.site);
  if (first === undefined || !hasServerTroubles(chance)) return [];
  return several(chance, frame, [first, ...others], 1, 3);
};

/** What goes beside the theme of a day: host troubles, changes and servers. */
const besides: DayPart = (chance, frame) => [
  ...several(chance, frame, hostRecipes, 1, 5),
  ...several(chance, frame, changeRecipes, 2, 5),
  ...(happens(chance, 0.3) ? [anywhere(chance, frame, coreCutRecipe)] : []),
  ...(happens(chance, 0.4) ? [anywhere(chance, frame, lostAcknowledgementRecipe)] : []),
  ...serverPart(chance, frame),
];

const drawnClosing = (chance: RandomSource): Closing | undefined => {
  if (happens(chance, 0.1)) return undefined;
  const kind = pick(chance, ['power_off_all', 'wipe_after_ack', 'kill_all']);
  const how = joinedWords(
    kind === 'wipe_after_ack' && happens(chance, 0.5) ? 'aimed' : '',
    pick(chance, ['', 'timed', 'taken']),
  );
  const closing = { kind, down_s: between(chance, 0.5, 1.5) };
  return how === '' ? closing : { ...closing, how };
};

const listed = (parts: readonly Placed[], list: TroubleList): readonly Trouble[] =>
  parts
    .filter((part) => part.list === list)
    .map(({ trouble }) => trouble)
    .toSorted((one, other) => one.at - other.at);

/** The stream of draws of the day at this place of a seed; no other day's draws move it. */
export const chanceOfDay = (seed: number, place: number): RandomSource => seededRandom(seed + (place + 1) * dayStride);

/** Draws one day for a deployment: a theme of the control side, and other troubles beside it. */
export const drawDay = (chance: RandomSource, site: Site, label: string): Day => {
  const lengthS = Math.floor(between(chance, site.lengthS, Math.max(site.lengthS, longestDayS)));
  const frame = { site, lengthS };
  const [theme, draw] = pick(chance, themes);
  const parts = [...draw(chance, frame), ...besides(chance, frame)];
  const closing = drawnClosing(chance);
  return {
    name: `${label}-${theme}`,
    seed: wholeBetween(chance, 1, greatestSeed),
    length_s: lengthS,
    ...(closing === undefined ? {} : { closing }),
    plan: listed(parts, 'plan'),
    faults: listed(parts, 'faults'),
  };
};
