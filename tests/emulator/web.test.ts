import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { startWebView, stepWeb, type WebEffect, type WebEvent } from '../../src/emulator/web/web-server.js';

const play = (events: readonly WebEvent[]): readonly WebEffect[] => {
  const effects: WebEffect[] = [];
  let view = startWebView({ slots: 2, queue: 1 });
  for (const event of [...events, { type: 'time', at: 9_000_000 } as const]) {
    const stepped = stepWeb(view, event);
    view = stepped.view;
    effects.push(...stepped.effects);
  }
  return effects;
};

const order = (name: string, at: number, dueUs = 5_000_000): WebEvent => ({
  type: 'order',
  at,
  order: { name, workUs: 60_000, dueUs },
});

test('a web server works on as many as it has slots, lets some wait and turns away the rest', () => {
  assert.equal(
    play([order('a', 0), order('b', 10), order('c', 20), order('d', 30), { type: 'cancel', at: 40, name: 'b' }]),
    [
      { type: 'began', at: 0, name: 'a' },
      { type: 'began', at: 10, name: 'b' },
      { type: 'turnedAway', at: 30, name: 'd', cause: 'full' },
      { type: 'began', at: 40, name: 'c' },
      { type: 'done', at: 60_000, name: 'a' },
      { type: 'done', at: 60_040, name: 'c' },
    ],
  );
});

test('what waited for too long is turned away', () => {
  assert.equal(
    play([order('a', 0), order('b', 0), order('c', 0, 50_000)]).map(({ type, name }) => `${type} ${name}`),
    ['began a', 'began b', 'turnedAway c', 'done a', 'done b'],
  );
});

test.run();
