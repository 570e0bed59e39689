import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { policyParts, policyWithout, defaultPolicy, type DecisionPolicy } from '../../src/decision/policy.js';
import { workOf } from '../../src/decision/work/work-of.js';
import { initialServersAt, listOf, recordOf, second, serverOf, setup } from './fixtures.js';
import { deliveriesIn, openPlayer, decisionTypesOf, type Player } from './player.js';

const setupWithTarget = { ...setup, rules: setup.rules.map((rule) => ({ ...rule, targetUs: second })) };

const openNode = (policy: DecisionPolicy): Player => {
  const player = openPlayer(policy);
  player.play(
    { type: 'tick', at: 0 },
    { type: 'setup', at: 0, record: recordOf(setupWithTarget) },
    { type: 'list', at: 0, list: listOf(1, 90 * second, initialServersAt(6, 0)) },
  );
  return player;
};

const work = workOf('model', [{ part: 'p', tokens: 4_000 }], 4_000, 10);

const send = (player: Player, at: number, exchange: string) =>
  player.play({ type: 'exchange', at, exchange, kind: 'ask', prefix: 'one', work });

const serverIn = (decisions: ReturnType<Player['play']>): string => deliveriesIn(decisions)[0]?.server ?? 'none';

/** Plays events whose decisions differ without the part of the policy, and returns what differs. */
const observationOf: Readonly<Record<string, (player: Player) => unknown>> = {
  singleFlight: (player) => {
    send(player, 1, 'a');
    return decisionTypesOf(send(player, 2, 'b'));
  },
  quickerServer: (player) => {
    const owner = serverIn(send(player, 1, 'a'));
    player.play({ type: 'done', at: 2, exchange: 'a', attempt: 1 });
    player.play({ type: 'work', at: 3, server: owner, service: 'model', tokens: 200_000 });
    return serverIn(send(player, 4, 'b')) === owner;
  },
  urgency: (player) => deliveriesIn(send(player, 1, 'a'))[0]?.urgency,
  failures: (player) => {
    const owner = serverIn(send(player, 1, 'a'));
    player.play({ type: 'done', at: 2, exchange: 'a', attempt: 1 });
    for (let failure = 0; failure < 3; failure += 1)
      player.play({ type: 'failure', at: 3, server: owner, cause: 'failed' });
    return serverIn(send(player, 4, 'b')) === owner;
  },
  loads: (player) => {
    const owner = serverIn(send(player, 1, 'a'));
    player.play({ type: 'done', at: 2, exchange: 'a', attempt: 1 });
    player.play({ type: 'load', at: 3, server: owner, running: 9, waiting: 1, slots: 10 });
    return serverIn(send(player, 4, 'b')) === owner;
  },
  retries: (player) => {
    send(player, 1, 'a');
    player.play({ type: 'sent', at: 2, exchange: 'a', attempt: 1 });
    return decisionTypesOf(
      player.play({
        type: 'failed',
        at: 12 * second,
        exchange: 'a',
        attempt: 1,
        sent: true,
        pieces: 0,
        error: 'link-lost',
      }),
    );
  },
};

test('each part of the policy can be switched off, and a serving router has all of them on', () => {
  assert.ok(policyParts.every((part) => defaultPolicy[part]));
  assert.is(policyParts.length, Object.keys(defaultPolicy).length);
  for (const [name, observe] of Object.entries(observationOf)) {
    const part = policyParts.find((candidate) => candidate === name);
    assert.ok(part !== undefined, name);
    if (part === undefined) return;
    assert.not.equal(observe(openNode(policyWithout(part))), observe(openNode(defaultPolicy)), name);
  }
});

test('without bookings a joining server gets nothing before it enters; without pace it gets at least as much as with it', () => {
  const serversDuringJoin = (policy: DecisionPolicy): readonly string[] => {
    const player = openNode(policy);
    player.play({
      type: 'list',
      at: second,
      list: listOf(2, 91 * second, [...initialServersAt(6, 0), serverOf('new', 91 * second)]),
    });
    return Array.from({ length: 80 }, (_, index) => {
      const at = 2 * second + index * 100_000;
      const exchange = `j${index}`;
      const decisions = player.play({ type: 'exchange', at, exchange, kind: 'ask', prefix: `p${index % 20}` });
      player.play({ type: 'done', at, exchange, attempt: 1 });
      return serverIn(decisions);
    });
  };
  const countAtJoiner = (servers: readonly string[]): number =>
    servers.filter((server) => server.startsWith('new')).length;
  const withDefaultPolicy = countAtJoiner(serversDuringJoin(defaultPolicy));
  assert.ok(withDefaultPolicy > 0, "the clients' exchanges warm the joining server up");
  assert.is(countAtJoiner(serversDuringJoin(policyWithout('bookings'))), 0);
  assert.ok(countAtJoiner(serversDuringJoin(policyWithout('pace'))) >= withDefaultPolicy);
});

test.run();
