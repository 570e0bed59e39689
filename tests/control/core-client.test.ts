import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Either } from 'purify-ts';
import type { TypedError } from '../../src/common/typed-error.js';
import type { CoreReply } from '../../src/control/machine/core-reply.js';
import { openCoreClient } from '../../src/process/core-client.js';
import { openCounters } from '../../src/process/counters.js';
import { openSpreadTask } from '../../src/process/spread-task.js';
import { openSimNode } from '../../src/sim/process/sim-node.js';
import type { SimPorts } from '../../src/sim/process/sim-ports.js';
import { simSurroundingsOf } from '../../src/sim/process/sim-surroundings.js';
import { openNetwork } from '../../src/sim/world/network.js';
import { openWorld } from '../../src/sim/world/world.js';

const won: CoreReply = { type: 'applied', outcome: { type: 'claimed', won: true, holder: 'x' } };

/** Asks a core of which one machine answers each request after a while; what it is told, and when. */
const askedOf = async (receiptAfterUs: number, budgetUs: number, reply: CoreReply = won, replier = 'core:1') => {
  const world = openWorld(1);
  const ports: SimPorts = new Map();
  const surroundings = simSurroundingsOf(
    { world, network: openNetwork(world), ports, serverAt: () => undefined, note: () => undefined },
    'a',
    'a:1',
    openSimNode(world).begin(),
  );
  const spread = openSpreadTask(
    { node: 'a', role: 'router', address: 'a:1', http: 'a:1/http', locality: 'a' },
    ['core:1'],
    { change: () => undefined },
    openCounters(),
    surroundings,
  );
  await spread.start();
  ports.set('core:1', (from, frame) => {
    if (frame.type === 'request')
      world.after(receiptAfterUs, () =>
        ports.get(from)?.(replier, { type: 'reply', requestId: frame.requestId, reply }),
      );
  });
  const core = openCoreClient(spread, surroundings);
  const told: { word: Either<TypedError, CoreReply> | undefined; atUs: number } = { word: undefined, atUs: 0 };
  void core
    .ask({ type: 'propose', command: { type: 'claim', key: 'k', exchange: 'x', atUs: 0 } }, budgetUs)
    .then((word) => {
      told.word = word;
      told.atUs = world.now();
    });
  await world.playUntil(10_000_000);
  return told;
};

test('an answer that comes in the last pause counts', async () => {
  const { word } = await askedOf(615_000, 600_000);
  assert.equal(word?.extract(), won);
});

test('an answer to an earlier try counts as soon as it comes', async () => {
  const { word, atUs } = await askedOf(1_000_000, 3_000_000);
  assert.equal(word?.extract(), won);
  assert.ok(atUs < 1_010_000, `${atUs} us`);
});

test('without any word a proposal is undecided at the end of its budget, no later', async () => {
  const { word, atUs } = await askedOf(5_000_000, 2_000_000);
  assert.ok(word?.isLeft() && word.extract().type === 'undecided');
  assert.ok(atUs <= 2_050_000, `${atUs} us`);
});

test('a core that has no leader to name is unreachable: nothing was begun', async () => {
  const { word } = await askedOf(1_000, 500_000, { type: 'not-leader', leader: undefined });
  assert.ok(word?.isLeft() && word.extract().type === 'unreachable');
});

test('a reply from an address that was not asked is no answer', async () => {
  const { word } = await askedOf(1_000, 2_000_000, won, 'core:2');
  assert.ok(word?.isLeft() && word.extract().type === 'undecided');
});

test.run();
