import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { initialServersAt, listOf, recordOf, second, serverOf, setup } from './fixtures.js';
import type { DecisionEvent } from '../../src/decision/machine/event/decision-event.js';
import type { TimedDecision } from '../../src/decision/trace/trace-reader.js';
import { decisionTypesOf, deliveriesIn, openPlayer } from './player.js';

type FailedEvent = Extract<DecisionEvent, { readonly type: 'failed' }>;

const web = serverOf('web', 0, { service: 'status', address: '10.0.0.9:1' });

/** A time at which the node has been up for longer than the window of the retry budget. */
const afterWindowUs = 60 * second;

/** A node with a configuration and servers, whose events follow each other by a microsecond. */
const openNode = () => {
  const player = openPlayer();
  let atUs = afterWindowUs;
  const next = (): number => {
    atUs += 1;
    return atUs;
  };
  player.play(
    { type: 'tick', at: 0 },
    { type: 'setup', at: 0, record: recordOf(setup) },
    { type: 'list', at: 0, list: listOf(1, 90 * second, [...initialServersAt(4, 0), web]) },
  );
  return {
    view: player.view,
    arrive: (exchange: string, kind = 'ask', prefix = exchange) =>
      player.play({ type: 'exchange', at: next(), exchange, kind, prefix }),
    send: (exchange: string) => void player.play({ type: 'sent', at: next(), exchange, attempt: 1 }),
    begin: (exchange: string) => void player.play({ type: 'firstPiece', at: next(), exchange, attempt: 1 }),
    fail: (exchange: string, more: Partial<FailedEvent> = {}) =>
      player.play({
        type: 'failed',
        at: next(),
        exchange,
        attempt: 1,
        sent: true,
        pieces: 0,
        error: 'link-lost',
        ...more,
      }),
    shutDown: () => player.play({ type: 'shutdown', at: next() }),
  };
};

type Node = ReturnType<typeof openNode>;

const finalTypes: ReadonlySet<string> = new Set(['refuse', 'unknown', 'breakOff']);

/** The state of an exchange when its node shuts down, and its final decision. */
const states: readonly (readonly [string, (node: Node) => void, readonly string[]])[] = [
  [
    'held behind the prefill of another one',
    ({ arrive, send }) => {
      arrive('leader', 'ask', 'p');
      send('leader');
      arrive('e', 'ask', 'p');
    },
    ['refuse'],
  ],
  ['waits for a connection', ({ arrive }) => void arrive('e'), ['refuse']],
  [
    'passed on, without an answer, repeatable',
    ({ arrive, send }) => {
      arrive('e');
      send('e');
    },
    ['unknown'],
  ],
  [
    'waits for a connection after an attempt that may have run',
    ({ arrive, send, fail }) => {
      arrive('e');
      send('e');
      assert.is(deliveriesIn(fail('e')).length, 1);
    },
    ['unknown'],
  ],
  [
    'waits for a connection after an attempt that has not run',
    ({ arrive, send, fail }) => {
      arrive('e');
      send('e');
      assert.is(deliveriesIn(fail('e', { error: 'turned-away', notRun: true })).length, 1);
    },
    ['refuse'],
  ],
  [
    'its response has started',
    ({ arrive, send, begin }) => {
      arrive('e');
      send('e');
      begin('e');
    },
    [],
  ],
];

const finalsOf = (decisions: readonly TimedDecision[], exchange: string): readonly string[] =>
  decisions
    .filter((decision) => 'exchange' in decision && decision.exchange === exchange && finalTypes.has(decision.type))
    .map(({ type }) => type);

/** Fails an attempt for lack of retry budget otherwise. */
const earlierExchanges = 20;

const openBusyNode = (): Node => {
  const node = openNode();
  for (let place = 0; place < earlierExchanges; place += 1) {
    node.arrive(`earlier${place}`);
    node.send(`earlier${place}`);
    node.begin(`earlier${place}`);
  }
  return node;
};

for (const [name, prepare, finals] of states)
  test(`a shutdown while a request is in this state: ${name}`, () => {
    const node = openBusyNode();
    prepare(node);
    const ended = node.shutDown();
    assert.equal([finalsOf(ended, 'e'), deliveriesIn(ended)], [finals, []]);
  });

test('a shutdown leaves no request without an answer, whatever its kind, and starts no attempt', () => {
  const node = openNode();
  const kinds = setup.rules.map(({ kind }) => kind);
  kinds.forEach((kind, place) => {
    node.arrive(`waits${place}`, kind);
    node.arrive(`sent${place}`, kind);
    node.send(`sent${place}`);
  });
  const ended = node.shutDown();
  kinds.forEach((kind, place) => {
    assert.equal([finalsOf(ended, `waits${place}`), finalsOf(ended, `sent${place}`)], [['refuse'], ['unknown']], kind);
  });
  assert.equal([node.view().exchanges.size, node.view().flights.size], [0, 0]);
});

test('after a shutdown a started stream that fails is broken off, and a new exchange is refused', () => {
  const node = openNode();
  node.arrive('e');
  node.send('e');
  node.begin('e');
  node.shutDown();
  assert.equal(decisionTypesOf(node.fail('e', { pieces: 1 })), ['breakOff']);
  assert.equal(decisionTypesOf(node.arrive('n')), ['refuse']);
});

test.run();
