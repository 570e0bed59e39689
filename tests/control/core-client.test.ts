import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Either } from 'purify-ts';
import type { TypedError } from '../../src/common/typed-error.js';
import type { CoreReply } from '../../src/control/machine/core-reply.js';
import { openCoreClient } from '../../src/process/core-client.js';
import { openCounters } from '../../src/process/counters.js';
import { openGossipTask } from '../../src/process/gossip-task.js';
import { openSimNode } from '../../src/sim/process/sim-node.js';
import type { SimPorts } from '../../src/sim/process/sim-ports.js';
import { simSurroundingsOf } from '../../src/sim/process/sim-surroundings.js';
import { openNetwork } from '../../src/sim/world/network.js';
import { openWorld } from '../../src/sim/world/world.js';

const wonClaim: CoreReply = { type: 'applied', outcome: { type: 'claimed', won: true, holder: 'x' } };

/** Sends a request to a core of one node that replies after a delay; the result, and when it arrived. */
const requestResult = async (
  replyDelayUs: number,
  budgetUs: number,
  reply: CoreReply = wonClaim,
  replier = 'core:1',
) => {
  const world = openWorld(1);
  const ports: SimPorts = new Map();
  const surroundings = simSurroundingsOf(
    { world, network: openNetwork(world), ports, serverAt: () => undefined, note: () => undefined },
    'a',
    'a:1',
    openSimNode(world).begin(),
  );
  const spread = openGossipTask(
    { node: 'a', role: 'router', address: 'a:1', http: 'a:1/http', locality: 'a' },
    ['core:1'],
    { change: () => undefined },
    openCounters(),
    surroundings,
  );
  await spread.start();
  ports.set('core:1', (from, frame) => {
    if (frame.type === 'request')
      world.after(replyDelayUs, () => ports.get(from)?.(replier, { type: 'reply', requestId: frame.requestId, reply }));
  });
  const core = openCoreClient(spread, surroundings);
  const received: { result: Either<TypedError, CoreReply> | undefined; atUs: number } = { result: undefined, atUs: 0 };
  void core
    .ask({ type: 'propose', command: { type: 'claim', key: 'k', exchange: 'x', atUs: 0 } }, budgetUs)
    .then((result) => {
      received.result = result;
      received.atUs = world.now();
    });
  await world.playUntil(10_000_000);
  return received;
};

test('a reply that arrives in the wait after the last attempt is accepted', async () => {
  const { result } = await requestResult(615_000, 600_000);
  assert.equal(result?.extract(), wonClaim);
});

test('a reply to an earlier attempt is accepted as soon as it arrives', async () => {
  const { result, atUs } = await requestResult(1_000_000, 3_000_000);
  assert.equal(result?.extract(), wonClaim);
  assert.ok(atUs < 1_010_000, `${atUs} us`);
});

test('without a reply a proposal is undecided at the end of its time budget, not later', async () => {
  const { result, atUs } = await requestResult(5_000_000, 2_000_000);
  assert.ok(result?.isLeft() && result.extract().type === 'undecided');
  assert.ok(atUs <= 2_050_000, `${atUs} us`);
});

test('a core without a known leader is unreachable: the request was not started', async () => {
  const { result } = await requestResult(1_000, 500_000, { type: 'not-leader', leader: undefined });
  assert.ok(result?.isLeft() && result.extract().type === 'unreachable');
});

test('a reply from an address that the request was not sent to is ignored', async () => {
  const { result } = await requestResult(1_000, 2_000_000, wonClaim, 'core:2');
  assert.ok(result?.isLeft() && result.extract().type === 'undecided');
});

test.run();
