import { Left, Right } from 'purify-ts';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Clock } from '../../src/common/clock/clock.js';
import { typedError } from '../../src/common/typed-error.js';
import type { Dial } from '../../src/servers/link/dial.js';
import type { ServerLink } from '../../src/servers/link/server-link.js';
import { serverKeyOf } from '../../src/servers/list/server-key.js';
import { leastRedialUs, mostRedialUs, openPassiveWatch } from '../../src/servers/watch/passive-watch.js';
import { serverOf } from '../decision/fixtures.js';

const server = serverOf('m1', 0);
const key = serverKeyOf(server);

const linkTo = (): ServerLink => ({
  key,
  isOpen: () => true,
  close: () => undefined,
  confirm: () => Promise.resolve(true),
  deliver: () => Promise.reject(new Error('not here')),
});

/** A watch over one server whose dials succeed or not as told, on a clock that is turned by hand. */
const openPlay = () => {
  let nowUs = 0;
  let isThere = true;
  let dials = 0;
  let kept = 0;
  const told: boolean[] = [];
  const waiting = new Set<{ readonly atUs: number; readonly act: () => void }>();
  const clock: Clock = {
    now: () => nowUs,
    after: (span, act) => {
      const entry = { atUs: nowUs + span, act };
      waiting.add(entry);
      return () => void waiting.delete(entry);
    },
  };
  const dial: Dial = () => {
    dials += 1;
    return Promise.resolve(isThere ? Right(linkTo()) : Left(typedError('link-error', 'nothing there')));
  };
  const watch = openPassiveWatch(
    dial,
    clock,
    (_key, isLight) => void told.push(isLight),
    () => {
      kept += 1;
    },
  );
  watch.watch([server]);
  const rest = async (): Promise<void> => {
    for (let turn = 0; turn < 10; turn += 1) await Promise.resolve();
  };
  return {
    watch,
    told,
    dials: () => dials,
    kept: () => kept,
    waiting: () => waiting.size,
    lose: () => {
      isThere = false;
    },
    mend: () => {
      isThere = true;
    },
    rest,
    pass: async (spanUs: number): Promise<void> => {
      nowUs += spanUs;
      for (const entry of [...waiting]) {
        if (entry.atUs > nowUs) continue;
        waiting.delete(entry);
        entry.act();
      }
      await rest();
    },
  };
};

test('a server that nothing went wrong with is never dialed', async () => {
  const play = openPlay();
  await play.pass(60_000_000);
  assert.is(play.dials(), 0);
});

test('a server that can not be reached is dark at once, is dialed at growing pauses, and is light when it answers', async () => {
  const play = openPlay();
  play.lose();
  play.watch.missed(key);
  assert.equal(play.told, [false]);
  await play.pass(leastRedialUs);
  await play.pass(leastRedialUs);
  assert.is(play.dials(), 1, 'the second pause is longer');
  await play.pass(leastRedialUs);
  assert.is(play.dials(), 2);
  play.mend();
  await play.pass(mostRedialUs);
  assert.equal(play.told, [false, true]);
  assert.is(play.kept(), 1, 'the link of the dial is kept for exchanges');
  await play.pass(60_000_000);
  assert.is(play.dials(), 3);
});

test('a broken exchange is followed by one dial, and a server that answers it stays light', async () => {
  const play = openPlay();
  play.watch.suspect(key);
  play.watch.suspect(key);
  await play.rest();
  assert.is(play.dials(), 1);
  assert.equal(play.told, []);
  play.lose();
  play.watch.suspect(key);
  await play.rest();
  assert.equal(play.told, [false]);
});

test('a server that leaves the list is asked for no more', async () => {
  const play = openPlay();
  play.lose();
  play.watch.missed(key);
  play.watch.watch([]);
  assert.is(play.waiting(), 0);
  await play.pass(60_000_000);
  assert.is(play.dials(), 0);
});

test.run();
