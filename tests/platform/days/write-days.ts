import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { Either } from 'purify-ts';
import { parse, stringify, type TomlTable } from 'smol-toml';
import type { Fault } from '../../../src/common/fault.js';
import { chanceOfDay, drawDay } from './draw-day.js';
import { happens } from './draws.js';
import { siteOf } from './site.js';
import type { Day } from './trouble.js';
import { drawVariation, varySite } from './vary-site.js';

const variedShare = 0.4;

/** Which days are drawn, and where they go. */
export type DaysOrder = {
  readonly sitePath: string;
  readonly seed: number;
  readonly count: number;
  readonly outPath: string;
};

/** A day file and the site file that it is to be played on. */
export type WrittenDay = { readonly sitePath: string; readonly dayPath: string };

/** The text of a day file. */
export const dayText = (day: Day): string => stringify({ day: [day] });

const wireNameOf = ({ wire }: TomlTable): string | undefined => (typeof wire === 'string' ? wire : undefined);

/** Writes a varied copy of the site file, and beside it the file of messages that it names. */
const writeSite = (document: TomlTable, path: string, { sitePath, outPath }: DaysOrder): void => {
  writeFileSync(path, stringify(document));
  const wireName = wireNameOf(document);
  if (wireName !== undefined) copyFileSync(join(dirname(sitePath), wireName), join(outPath, wireName));
};

type DrawnDay = { readonly label: string; readonly day: Day; readonly variedSite: TomlTable | undefined };

/** Draws the day at this place of a seed, on the deployment itself or on a varied copy of it. */
export const drawnDayOf = (document: TomlTable, seed: number, place: number): Either<readonly Fault[], DrawnDay> =>
  siteOf(document).chain(({ name }) => {
    const chance = chanceOfDay(seed, place);
    const label = `${name}-${seed}-${place}`;
    const variedSite = happens(chance, variedShare) ? varySite(document, drawVariation(chance)) : undefined;
    return siteOf(variedSite ?? document).map((site) => ({ label, day: drawDay(chance, site, label), variedSite }));
  });

const writeDrawn = ({ label, day, variedSite }: DrawnDay, order: DaysOrder): WrittenDay => {
  const dayPath = join(order.outPath, `day-${label}.toml`);
  writeFileSync(dayPath, dayText(day));
  if (variedSite === undefined) return { sitePath: order.sitePath, dayPath };
  const sitePath = join(order.outPath, `site-${label}.toml`);
  writeSite(variedSite, sitePath, order);
  return { sitePath, dayPath };
};

/** Draws the days of an order and writes their files, or lists what is wrong with the site file. */
export const writeDays = (order: DaysOrder): Either<readonly Fault[], readonly WrittenDay[]> => {
  const document = parse(readFileSync(order.sitePath, 'utf8'));
  const places = Array.from({ length: order.count }, (_, place) => place);
  return Either.sequence(places.map((place) => drawnDayOf(document, order.seed, place))).map((drawnDays) => {
    mkdirSync(order.outPath, { recursive: true });
    return drawnDays.map((drawn) => writeDrawn(drawn, order));
  });
};
