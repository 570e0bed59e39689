import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { EngineEffect } from '../../src/emulator/engine/engine-effect.js';
import type { EngineEvent } from '../../src/emulator/engine/engine-event.js';
import type { EngineFigures } from '../../src/emulator/engine/engine-figures.js';
import { usedTokens } from '../../src/emulator/engine/engine-memory.js';
import { startEngineView, type EngineView } from '../../src/emulator/engine/engine-view.js';
import { engineDueUs, stepEngine } from '../../src/emulator/engine/step-engine.js';
import { archiveEngine, orderOf } from './site-figures.js';

const play = (figures: EngineFigures, events: readonly EngineEvent[], untilUs = 60_000_000) => {
  const effects: EngineEffect[] = [];
  let view: EngineView = startEngineView(figures);
  for (const event of [...events, { type: 'time', at: untilUs } as const]) {
    const stepped = stepEngine(view, event);
    view = stepped.view;
    effects.push(...stepped.effects);
  }
  return {
    view,
    effects,
    of: (name: string, type: EngineEffect['type']) =>
      effects.filter((effect) => effect.name === name && effect.type === type),
  };
};

const isNear = (value: number, wanted: number, within: number): void =>
  assert.ok(Math.abs(value - wanted) <= within, `${value} is not ${wanted}`);
const atOf = (effects: readonly EngineEffect[]): number => effects[0]?.at ?? Number.NaN;
const gapsOf = (effects: readonly EngineEffect[]): readonly number[] =>
  effects.slice(1).map((effect, place) => effect.at - (effects[place]?.at ?? 0));

const longPrompt = {
  opening: [
    { part: 'a', tokens: 500 },
    { part: 'b', tokens: 5_000 },
    { part: 'c', tokens: 6_500 },
  ],
  readTokens: 12_000,
};

test('a cold prompt of 12,000 tokens alone is read at 55 tokens a ms in six pieces', () => {
  const { of } = play(archiveEngine, [{ type: 'order', at: 0, order: orderOf('x', longPrompt) }]);
  const readingUs = 12_000_000 / 55;
  const stepsUs = 6 * (2_890 + 101);
  const pairsUs = (165 * 12_000 ** 2) / 2 / 1_000_000;
  isNear(atOf(of('x', 'began')), 15_000 + readingUs + stepsUs + pairsUs, 60);
});

test('the same prompt again is read from what is kept, and for other weights anew', () => {
  const { of, view } = play(archiveEngine, [
    { type: 'order', at: 0, order: orderOf('x', longPrompt) },
    { type: 'order', at: 1_000_000, order: orderOf('y', longPrompt) },
    { type: 'weights', at: 2_000_000, version: 2 },
    { type: 'order', at: 2_000_000, order: orderOf('z', longPrompt) },
  ]);
  isNear(atOf(of('y', 'began')) - 1_000_000, 15_000 + 2_991 + (16 * 1_000) / 55 + 12_000 * 0.00128 + 31, 30);
  assert.ok(atOf(of('z', 'began')) - 2_000_000 > 200_000);
  assert.is(view.readTokens, 12_000 + 16 + 12_000);
});

test('a part is of use only while all before it are kept too', () => {
  const { view } = play(archiveEngine, [
    { type: 'order', at: 0, order: orderOf('x', { opening: [{ part: 'b', tokens: 400 }], readTokens: 400 }) },
    {
      type: 'order',
      at: 1_000_000,
      order: orderOf('y', {
        opening: [
          { part: 'a', tokens: 100 },
          { part: 'b', tokens: 400 },
        ],
        readTokens: 500,
      }),
    },
  ]);
  assert.is(view.readTokens, 900);
});

test('the pause between pieces is seven steps, with 1 and with 64 in the batch', () => {
  const alone = play(archiveEngine, [{ type: 'order', at: 0, order: orderOf('x') }]).of('x', 'piece');
  assert.is(alone.length, 10);
  for (const gapUs of gapsOf(alone)) isNear(gapUs, 7 * (2_890 + 101), 10);
  const crowd = Array.from({ length: 64 }, (_, place): EngineEvent => ({
    type: 'order',
    at: 0,
    order: orderOf(`x${place}`),
  }));
  const among = play(archiveEngine, crowd).of('x0', 'piece');
  for (const gapUs of gapsOf(among).slice(1, -1)) isNear(gapUs, 7 * (2_890 + 64 * 101 + 64 * 0.13), 40);
});

test('a long prompt holds up the tokens of those that run beside it', () => {
  const { of } = play(archiveEngine, [
    { type: 'order', at: 0, order: orderOf('x', { writeTokens: 700 }) },
    { type: 'order', at: 100_000, order: orderOf('y', longPrompt) },
  ]);
  const gaps = gapsOf(of('x', 'piece'));
  const plainUs = 7 * 2_991;
  const heldUs = gaps.reduce((sum, gapUs) => sum + Math.max(0, gapUs - plainUs - 2_000), 0);
  assert.ok(Math.max(...gaps) > 4 * (2_048_000 / 55), String(gaps));
  isNear(heldUs, 12_000_000 / 55, 15_000);
});

test('the queue has a bound, and who is turned away has not begun', () => {
  const crowd = Array.from({ length: 300 }, (_, place): EngineEvent => ({
    type: 'order',
    at: 0,
    order: orderOf(`x${place}`),
  }));
  const { effects, view } = play(archiveEngine, crowd);
  const turnedAway = effects.filter((effect) => effect.type === 'turnedAway');
  assert.is(turnedAway.length, 300 - 64 - 192);
  assert.ok(turnedAway.every(({ name }) => !effects.some((effect) => effect.type === 'began' && effect.name === name)));
  assert.is(effects.filter((effect) => effect.type === 'done').length, 64 + 192);
  assert.is(view.batch.length + view.waiting.length, 0);
  assert.is(engineDueUs(view), undefined);
});

test('what is larger than the memory or comes too late is turned away', () => {
  const { effects } = play(archiveEngine, [
    { type: 'order', at: 0, order: orderOf('x', { readTokens: 489_000, writeTokens: 40 }) },
    { type: 'order', at: 0, order: orderOf('z', { writeTokens: 700, dueUs: 100_000 }) },
    { type: 'order', at: 0, order: orderOf('y', { readTokens: 40_000, dueUs: 100_000 }) },
  ]);
  assert.equal(
    effects
      .filter((effect) => effect.type === 'turnedAway' || effect.type === 'overdue')
      .map((effect) => [effect.name, effect.type]),
    [
      ['x', 'turnedAway'],
      ['z', 'overdue'],
      ['y', 'turnedAway'],
    ],
  );
});

test('the more urgent go in first and take the place of others', () => {
  const { effects, of } = play({ ...archiveEngine, slots: 1 }, [
    { type: 'order', at: 0, order: orderOf('low', { urgency: 9, writeTokens: 700 }) },
    { type: 'order', at: 50_000, order: orderOf('usual') },
    { type: 'order', at: 50_000, order: orderOf('high', { urgency: 0 }) },
  ]);
  assert.equal(
    effects.filter((effect) => effect.type === 'done').map(({ name }) => name),
    ['high', 'usual', 'low'],
  );
  assert.equal(
    effects.filter((effect) => effect.type === 'began').map(({ name }) => name),
    ['low', 'high', 'usual'],
  );
  assert.ok(of('low', 'putBack').length >= 1);
  assert.equal(
    of('low', 'piece').map((effect) => (effect.type === 'piece' ? effect.piece : -1)),
    Array.from({ length: 100 }, (_, place) => place),
  );
});

test('when memory runs out the newest of the least urgent is put back, and its stream goes on whole', () => {
  const small = { ...archiveEngine, memoryTokens: 1_000 };
  const { effects, of, view } = play(small, [
    { type: 'order', at: 0, order: orderOf('x', { readTokens: 300, writeTokens: 350 }) },
    { type: 'order', at: 100, order: orderOf('y', { readTokens: 300, writeTokens: 350 }) },
  ]);
  assert.equal([...new Set(effects.filter((effect) => effect.type === 'putBack').map(({ name }) => name))], ['y']);
  assert.is(of('y', 'began').length, 1);
  assert.equal(
    of('y', 'piece').map((effect) => (effect.type === 'piece' ? effect.piece : -1)),
    Array.from({ length: 50 }, (_, place) => place),
  );
  assert.ok(view.readTokens > 600 && usedTokens(view) <= 1_000);
});

test('the longest unused parts give way', () => {
  const part = (name: string) => ({ opening: [{ part: name, tokens: 400 }], readTokens: 400 });
  const { view } = play({ ...archiveEngine, memoryTokens: 1_000 }, [
    { type: 'order', at: 0, order: orderOf('1', part('a')) },
    { type: 'order', at: 1_000_000, order: orderOf('2', part('b')) },
    { type: 'order', at: 2_000_000, order: orderOf('3', part('a')) },
    { type: 'order', at: 3_000_000, order: orderOf('4', part('c')) },
  ]);
  assert.equal([...view.kept.keys()], ['1 a', '1 c']);
  assert.is(view.readTokens, 400 + 400 + 16 + 400);
});

test('a stream that is taken up begins with the piece that is wanted, and one that is cancelled ends', () => {
  const { of, effects } = play(archiveEngine, [
    { type: 'order', at: 0, order: orderOf('x', { fromPiece: 7 }) },
    { type: 'order', at: 0, order: orderOf('y', { writeTokens: 7_000 }) },
    { type: 'cancel', at: 200_000, name: 'y' },
  ]);
  assert.equal(
    of('x', 'piece').map((effect) => (effect.type === 'piece' ? effect.piece : -1)),
    [7, 8, 9],
  );
  assert.ok(effects.every((effect) => effect.name !== 'y' || effect.at <= 200_000) && of('y', 'done').length === 0);
});

test.run();
