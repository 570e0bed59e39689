import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import type { ReadServer } from '../../src/servers/source/read-server.js';
import { livingRoutersOf } from '../../src/spread/machine/membership.js';
import { openMany, type Many, type ManyNode } from './many.js';

const second = 1_000_000;
const grown = { seed: 1, routers: 77, controls: 3, localities: 4, regions: 1 };
/** What a router of eighty may send while nothing happens; each frame costs its sender and its receiver a wake-up. */
const mostFramesPerSecond = 9;
const planned = { seed: 2, routers: 400, controls: 21, localities: 11, regions: 5 };

const recordAt = (revision: number): SetupRecord => ({
  revision,
  takenAtUs: 0,
  setup: sampleSetup(`setup-${revision}`),
  epochs: [],
});

const nodeAt = (many: Many, place: number): ManyNode => {
  const node = many.nodes[place];
  if (node === undefined) throw new Error(`no node ${place}`);
  return node;
};

const offerSetup = (many: Many, place: number, revision: number): void =>
  many.offer(nodeAt(many, place), { type: 'setup', at: many.now(), record: recordAt(revision) });

const hasSetup =
  (revision: number) =>
  (node: ManyNode): boolean =>
    node.view.record?.revision === revision;

const knowsLiving =
  (many: Many) =>
  (node: ManyNode): boolean =>
    node.view.partners.size === many.living().length - 1;

const read = (many: Many, place: number, leaving: string | undefined): void => {
  const servers = Array.from({ length: 40 }, (_, index): ReadServer => ({
    id: `s${index}`,
    service: 'model',
    address: `10.1.0.${index}:80`,
    locality: 'a',
    state: `s${index}` === leaving ? 'leaving' : 'up',
  }));
  many.offer(nodeAt(many, place), {
    type: 'reading',
    at: many.now(),
    begunAt: many.now() - 100_000,
    reading: { whole: true, servers },
  });
};

const isWithin = (tookUs: number | undefined, mostUs: number, what: string): void =>
  assert.ok(tookUs !== undefined && tookUs <= mostUs, `${what} took ${tookUs} us`);

test('eighty nodes that begin at once find each other, and what a node sends does not grow with them', () => {
  const many = openMany(grown);
  for (const node of many.nodes) many.start(node);
  isWithin(many.until(knowsLiving(many), 10 * second), 6 * second, 'finding each other');
  many.play(15 * second);
  many.resetCounts();
  many.play(10 * second);
  for (const node of many.nodes)
    assert.ok(node.sentBytes < 2_000 * 10, `${node.address} sent ${node.sentBytes} bytes in ten seconds`);
  assert.is(many.falseAlarms.length, 0);
});

test('eighty nodes have a setup, a leaving server and each reading within a second, a tenth of them dead', () => {
  const many = openMany(grown);
  many.startAcquainted();
  many.play(second);
  read(many, 1, undefined);
  many.play(second);
  for (const node of many.nodes.filter((_, place) => place % 10 === 5)) many.kill(node);
  offerSetup(many, 0, 1);
  isWithin(many.until(hasSetup(1), 3 * second, 10_000), second, 'a setup');
  read(many, 1, 's3');
  isWithin(
    many.until(
      (node) => node.view.list?.servers.find(({ id }) => id === 's3')?.state === 'leaving',
      3 * second,
      10_000,
    ),
    second,
    'a leaving server',
  );
  let latestUs = 0;
  for (let reading = 0; reading < 16; reading += 1) {
    read(many, 1, 's3');
    many.play(second / 2);
    for (const { view } of many.living())
      if (view.platform !== undefined && view.read !== undefined)
        latestUs = Math.max(latestUs, view.platform.reachedUs + (many.now() - view.platform.atUs) - view.read.atUs);
  }
  assert.ok(latestUs < 1_200_000, `a reading was ${latestUs} us old somewhere`);
  isWithin(many.until(knowsLiving(many), 15 * second), 10 * second, 'giving up the dead');
  assert.is(many.falseAlarms.length, 0);
});

test('while the list is read twice a second, each of eighty routers sends only a few frames a second', () => {
  const many = openMany({ ...grown, controls: 5 });
  many.startAcquainted();
  many.play(5 * second);
  read(many, 1, undefined);
  many.play(second);
  many.resetCounts();
  const seconds = 10;
  for (let reading = 0; reading < 2 * seconds; reading += 1) {
    read(many, 1, undefined);
    many.play(second / 2);
  }
  const routers = many.nodes.filter(({ view }) => view.self.role === 'router');
  const mean = routers.reduce((sum, { sentFrames }) => sum + sentFrames, 0) / routers.length / seconds;
  assert.ok(mean < mostFramesPerSecond, `${mean} frames a second`);
  for (const { view } of routers)
    assert.ok(view.read !== undefined && view.platform !== undefined, 'every router hears of the readings');
});

test('lost frames bring nobody under the dead', () => {
  const many = openMany({ ...grown, lossShare: 0.1 });
  many.startAcquainted();
  many.play(30 * second);
  assert.is(many.falseAlarms.length, 0);
});

test('at the planned size news is everywhere within two seconds, a tenth dead, and the dead and the returned are counted', () => {
  const many = openMany(planned);
  many.startAcquainted();
  many.play(2 * second);
  const dead = many.nodes.filter((_, place) => place % 10 === 5);
  dead.forEach(many.kill);
  offerSetup(many, 0, 1);
  isWithin(many.until(hasSetup(1), 5 * second), 2 * second, 'a setup');
  isWithin(many.until(knowsLiving(many), 20 * second, 200_000), 15 * second, 'giving up the dead');
  for (const node of dead) many.start(node);
  isWithin(many.until(hasSetup(1), 5 * second), 2 * second, 'a setup for those that begin');
  isWithin(many.until(knowsLiving(many), 20 * second, 200_000), 10 * second, 'knowing the returned');
  assert.equal(new Set(many.living().map(({ view }) => livingRoutersOf(view))), new Set([400]));
  assert.is(many.falseAlarms.length, 0);
});

test.run();
