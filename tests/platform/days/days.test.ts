import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import fc from 'fast-check';
import { parse } from 'smol-toml';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededRandom } from '../../../src/common/random.js';
import { drawDay, longestDayS } from './draw-day.js';
import { serverRecipes } from './server-recipes.js';
import { siteOf, type Site } from './site.js';
import { plain, siteDocument, siteText } from './site-document.js';
import type { Day, Trouble } from './trouble.js';
import { dayText, drawnDayOf, writeDays } from './write-days.js';

/** For each kind the words that its `how` may hold, as the bench lists them. */
const knownWords: Readonly<Record<string, readonly string[]>> = {
  ack_lost: [],
  after_ack_kill: ['kill', 'timed', 'taken'],
  after_ack_wipe: ['timed', 'taken'],
  answer_lost: ['reset'],
  bad_config: [
    'cut_short',
    'unknown_service',
    'same_place',
    'no_weight',
    'no_timeout',
    'old_version',
    'same_version',
    'stale_match',
    'shared_key',
  ],
  big_config: [],
  clock_step: ['back', 'ahead'],
  config_change: ['route', 'weights', 'timeout', 'idle'],
  config_race: [],
  config_storm: [],
  core_cut: ['one_way', 'seeds', 'both', 'reset', 'refuse', 'leader', 'reader', 'meet', 'race', 'hard'],
  disk_full: [],
  disk_slow: ['leader'],
  disk_stall: ['leader'],
  garble: ['extra', 'late'],
  herd_kill: ['power', 'taken'],
  hup: [],
  idle_race: [],
  node_cut: ['servers'],
  node_freeze: [],
  node_kill: ['power', 'leader', 'reader', 'seed', 'meet', 'race', 'hard', 'drain'],
  node_slow: [],
  release: [],
  replace_core: ['planned', 'leader', 'reader', 'seed'],
  replace_with_reuse: ['drain', 'dark'],
  reset_conns: [],
  roll_term: ['busy', 'remove', 'drain', 'meet', 'race', 'hard'],
  seed_turnover: [],
  srv_crash: ['dark', 'gone'],
  srv_slow: [],
};

const closingKinds = ['power_off_all', 'wipe_after_ack', 'kill_all'];
const closingWords = ['aimed', 'timed', 'taken'];
const wordsOf = (how = ''): readonly string[] => how.split(' ').filter((word) => word !== '');

const site = (changes: Partial<Site> = {}): Site => {
  const read = siteOf(siteDocument()).mapLeft((faults) => JSON.stringify(faults));
  return { ...read.unsafeCoerce(), ...changes };
};

const dayOf = (seed: number, played = site()): Day => drawDay(seededRandom(seed), played, 'day');
const troublesOf = ({ plan, faults }: Day): readonly Trouble[] => [...plan, ...faults];

const checkTrouble = (trouble: Trouble, day: Day, played: Site): void => {
  const text = JSON.stringify(trouble);
  const allowedWords = knownWords[trouble.kind];
  assert.ok(allowedWords !== undefined, `${text} is of no known kind`);
  assert.ok(trouble.at > 0 && trouble.at < day.length_s, `${text} begins outside the day`);
  for (const word of wordsOf(trouble.how))
    assert.ok(allowedWords?.includes(word), `${text} has an unknown word ${word}`);
  for (const [field, value] of Object.entries(trouble))
    if (typeof value === 'number') assert.ok(Number.isFinite(value) && value >= 0, `${text}: ${field}`);
  assert.ok((trouble.share ?? 0) <= 1, `${text} takes more than there is`);
  assert.ok(trouble.count === undefined || (Number.isInteger(trouble.count) && trouble.count >= 1), text);
  if (trouble.on === 'core') assert.ok((trouble.count ?? 1) <= played.toleratedMachines, `${text} takes too many`);
  if (trouble.service !== undefined) assert.ok(played.services.includes(trouble.service), text);
};

const checkDay = (day: Day, played: Site): void => {
  assert.ok(day.length_s >= played.lengthS && day.length_s <= longestDayS, `the day lasts ${day.length_s} s`);
  assert.ok(Number.isInteger(day.seed) && day.seed > 0);
  assert.ok(day.plan.length + day.faults.length > 0);
  for (const list of [day.plan, day.faults]) {
    assert.equal(
      list,
      list.toSorted((one, other) => one.at - other.at),
    );
    for (const trouble of list) checkTrouble(trouble, day, played);
  }
  if (day.closing === undefined) return;
  assert.ok(closingKinds.includes(day.closing.kind));
  assert.ok(day.closing.down_s > 0);
  for (const word of wordsOf(day.closing.how)) assert.ok(closingWords.includes(word));
};

const seeds = fc.integer({ min: 0, max: 2 ** 30 });

test('the same seed gives the same days, and another seed others', () => {
  fc.assert(
    fc.property(seeds, fc.nat(20), (seed, place) => {
      const drawn = JSON.stringify(drawnDayOf(siteDocument(), seed, place).extract());
      assert.is(JSON.stringify(drawnDayOf(siteDocument(), seed, place).extract()), drawn);
      assert.is.not(JSON.stringify(drawnDayOf(siteDocument(), seed + 1, place).extract()), drawn);
      assert.is.not(JSON.stringify(drawnDayOf(siteDocument(), seed, place + 1).extract()), drawn);
    }),
  );
});

test('every day is well formed, on any deployment', () => {
  const sites = fc.record({
    lengthS: fc.integer({ min: 10, max: longestDayS }),
    toleratedMachines: fc.integer({ min: 1, max: 4 }),
    syncS: fc.double({ min: 0.5, max: 20, noNaN: true }),
    contactS: fc.double({ min: 0.5, max: 10, noNaN: true }),
    confirmS: fc.double({ min: 0.5, max: 10, noNaN: true }),
    contracts: fc.constantFrom(['base'], ['base', 'pool']),
  });
  fc.assert(
    fc.property(seeds, sites, (seed, figures) => {
      const played = site(figures);
      checkDay(dayOf(seed, played), played);
    }),
    { numRuns: 1000 },
  );
});

test('a day file holds the day as drawn', () => {
  fc.assert(
    fc.property(seeds, (seed) => {
      const day = dayOf(seed);
      assert.equal(plain(parse(dayText(day))), plain({ day: [day] }));
    }),
  );
});

test('two hundred days bring every kind of trouble, long cuts, storms of hundreds and every closing fault', () => {
  const days = Array.from({ length: 200 }, (_, seed) => dayOf(seed, site({ contracts: ['base', 'pool'] })));
  const troubles = days.flatMap(troublesOf);
  const kinds = new Set(troubles.map(({ kind }) => kind));
  assert.equal([...kinds].toSorted(), Object.keys(knownWords));
  assert.ok(troubles.some(({ kind, for_s = 0 }) => kind === 'core_cut' && for_s === 20));
  assert.ok(troubles.some(({ kind, count = 0 }) => kind === 'config_storm' && count >= 300));
  const closings = new Set(days.map(({ closing }) => closing?.kind));
  for (const kind of [...closingKinds, undefined]) assert.ok(closings.has(kind), `no day closes with ${kind}`);
});

test('each word of the troubles of core machines comes up', () => {
  const troubles = Array.from({ length: 300 }, (_, seed) => dayOf(seed)).flatMap(troublesOf);
  for (const kind of ['core_cut', 'node_kill', 'after_ack_kill', 'after_ack_wipe', 'replace_core', 'roll_term'])
    for (const word of knownWords[kind] ?? [])
      assert.ok(
        troubles.some((trouble) => trouble.kind === kind && wordsOf(trouble.how).includes(word)),
        `no ${kind} has ${word}`,
      );
});

test('a kind that a contract brings comes only where it is in force', () => {
  const isNamed = (contracts: readonly string[]): boolean =>
    serverRecipes(site({ contracts })).some(({ kind }) => kind === 'idle_race');
  assert.not(isNamed(['base']));
  assert.ok(isNamed(['base', 'pool']));
});

test('the figures follow the deployment: the time between losses, and how many go at once', () => {
  const days = (played: Site): readonly Day[] => Array.from({ length: 200 }, (_, seed) => dayOf(seed, played));
  const lossesOf = (played: Site): number =>
    days(played)
      .filter(({ name }) => name.endsWith('-losses'))
      .reduce((sum, { faults }) => sum + faults.length, 0);
  const widest = (played: Site): number =>
    Math.max(...days(played).flatMap(({ faults }) => faults.map(({ on, count = 0 }) => (on === 'core' ? count : 0))));
  assert.ok(lossesOf(site({ syncS: 2 })) > lossesOf(site({ syncS: 20 })));
  assert.is(widest(site({ toleratedMachines: 1 })), 1);
  assert.is(widest(site({ toleratedMachines: 3 })), 3);
});

test('a site file that lacks a figure is refused with the figure named', () => {
  const faults = siteOf({ ...siteDocument(), timing: {} })
    .swap()
    .orDefault([]);
  assert.ok(faults.some(({ path }) => path.startsWith('timing')));
});

test('the files are written beside each other, and the site file stays untouched', () => {
  const folder = mkdtempSync(join(tmpdir(), 'days-'));
  try {
    const sitePath = join(folder, 'harbour.toml');
    writeFileSync(sitePath, siteText);
    writeFileSync(join(folder, 'wire.json'), '{}');
    const outPath = join(folder, 'out');
    const written = writeDays({ sitePath, seed: 3, count: 12, outPath }).unsafeCoerce();
    assert.is(written.length, 12);
    assert.is(readFileSync(sitePath, 'utf8'), siteText);
    const varied = written.filter((day) => day.sitePath !== sitePath);
    assert.ok(varied.length > 0 && varied.length < written.length);
    assert.is(readFileSync(join(outPath, 'wire.json'), 'utf8'), '{}');
    for (const { dayPath } of written) assert.ok('day' in parse(readFileSync(dayPath, 'utf8')));
    for (const day of varied) assert.ok(siteOf(parse(readFileSync(day.sitePath, 'utf8'))).isRight());
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test.run();
