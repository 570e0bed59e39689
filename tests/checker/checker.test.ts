import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { checkHistory } from '../../src/rehearsal/checker/check-history.js';
import { refusalsOf } from '../../src/rehearsal/checker/check-refusals.js';
import type { History } from '../../src/rehearsal/history/history.js';
import { pieceText } from '../../src/rehearsal/stand-in/work-text.js';
import {
  callOf,
  cleanHistory,
  putOf,
  refusalOf,
  runOf,
  second,
  terms,
  troubleEndUs,
  watchOf,
} from './clean-history.js';

const rulesOf = (change: (history: History) => void, more: Partial<typeof terms> = {}): readonly string[] => {
  const history = cleanHistory();
  change(history);
  return [...new Set(checkHistory(history, { ...terms, ...more }).map((finding) => finding.rule))].sort();
};

const lateUs = troubleEndUs + 13 * second;

const cutOff =
  (node: string, fromUs: number, untilUs: number) =>
  (history: History): void => {
    for (const other of ['r1', 'r2', 'c1', 'c2', 'c3']) {
      if (other === node) continue;
      history.troubles.push({ type: 'cut', atUs: fromUs, from: node, to: other });
      history.troubles.push({ type: 'cut', atUs: fromUs, from: other, to: node });
    }
    history.troubles.push({ type: 'heal', atUs: untilUs });
  };

const behind =
  (node: string, untilUs: number) =>
  (history: History): void => {
    history.watches.forEach((watch, place) => {
      if (watch.node === node && watch.atUs > 10 * second && watch.atUs < untilUs)
        history.watches[place] = watchOf(node, watch.atUs, 1);
    });
  };

const refusedTimes =
  (error: string, count: number, more: Parameters<typeof refusalOf>[2] = {}) =>
  (history: History): void => {
    for (let place = 0; place < count; place += 1) history.calls.push(refusalOf(`f${place}`, error, more));
  };

type Case = readonly [string, readonly string[], (history: History) => void];

const cases: readonly Case[] = [
  ['nothing goes wrong', [], () => undefined],
  [
    'run-once work runs twice',
    ['run-once'],
    ({ runs }) =>
      void runs.push(runOf('s', { kind: 'summary' }), runOf('s', { kind: 'summary', call: 's.1', server: 's2' })),
  ],
  [
    'run-once work runs once for two calls',
    [],
    ({ runs, calls }) => {
      runs.push(runOf('s', { kind: 'summary' }));
      calls.push(
        callOf('s', { kind: 'summary' }),
        callOf('s', { kind: 'summary', call: 's.1', end: 'repeated', pieces: [] }),
      );
    },
  ],
  [
    'a refused call ran',
    ['refused-never-runs'],
    ({ runs, calls }) => void (calls.push(refusalOf('s', 'no-server')), runs.push(runOf('s'))),
  ],
  [
    'a refused call ran long after',
    ['refused-never-runs'],
    ({ runs, calls }) => void (calls.push(refusalOf('s', 'no-claim')), runs.push(runOf('s', { atUs: 40 * second }))),
  ],
  [
    'a refusal does not say when to come back',
    ['refused-with-retry-after'],
    ({ calls }) => void calls.push(refusalOf('s', 'no-server', { retryAfter: undefined })),
  ],
  [
    "a piece of another's work",
    ['own-pieces-in-order'],
    ({ calls }) => void calls.push(callOf('a', { pieces: [pieceText('a', 0), pieceText('b', 1)] })),
  ],
  [
    'a piece is skipped',
    ['own-pieces-in-order'],
    ({ calls }) => void calls.push(callOf('a', { pieces: [pieceText('a', 0), pieceText('a', 2)] })),
  ],
  [
    'a piece comes twice',
    ['own-pieces-in-order'],
    ({ calls }) => void calls.push(callOf('a', { end: 'cut', pieces: [pieceText('a', 0), pieceText('a', 0)] })),
  ],
  [
    'a cut-off answer looks complete',
    ['well-formed-answers'],
    ({ calls }) => void calls.push(callOf('a', { end: 'malformed', pieces: [pieceText('a', 0)] })),
  ],
  [
    'a cut-off answer is seen to be cut off',
    [],
    ({ calls }) => void calls.push(callOf('a', { end: 'cut', pieces: [pieceText('a', 0)] })),
  ],
  [
    'a summary goes on in the middle',
    ['resumed-where-allowed'],
    ({ runs }) => void runs.push(runOf('s', { kind: 'summary', fromPiece: 3 })),
  ],
  ['a question goes on in the middle', [], ({ runs }) => void runs.push(runOf('q', { fromPiece: 3 }))],
  [
    'work reaches another service',
    ['allowed-service'],
    ({ runs }) => void runs.push(runOf('a', { ownService: 'ledger' })),
  ],
  [
    'work reaches a server 3.1 s after it was shown as leaving',
    ['leaving-gets-nothing'],
    ({ runs, leaves }) => {
      leaves.push({ server: 's2', incarnation: 'i1', shownUs: 12 * second });
      runs.push(runOf('a', { server: 's2', atUs: 15.1 * second }));
    },
  ],
  [
    'work reaches a leaving server within 3 s, and its successor later',
    [],
    ({ runs, leaves }) => {
      leaves.push({ server: 's2', incarnation: 'i1', shownUs: 12 * second });
      runs.push(
        runOf('a', { server: 's2', atUs: 14.9 * second }),
        runOf('b', { server: 's2', incarnation: 'i2', atUs: 20 * second }),
      );
    },
  ],
  [
    'too many extra tries in ten seconds',
    ['extra-tries'],
    ({ tries }) => {
      for (let place = 0; place < 45; place += 1)
        tries.push({ service: 'model', call: 'w0', atUs: 10.2 * second + place * 1000 });
    },
  ],
  [
    'as many extra tries spread over a minute',
    [],
    ({ tries }) => {
      for (let place = 0; place < 45; place += 1)
        tries.push({ service: 'model', call: 'w0', atUs: 10.2 * second + place * second });
    },
  ],
  [
    'a node shows an old setup 2.2 s after the next was taken',
    ['in-force-within-two-seconds'],
    behind('r2', 12.4 * second),
  ],
  [
    'a node that was cut off shows the old setup until 2 s after the cut',
    [],
    (history) => {
      cutOff('r2', 9.9 * second, 14 * second)(history);
      behind('r2', 15.9 * second)(history);
    },
  ],
  [
    'a node shows the old setup while another one was cut off',
    ['in-force-within-two-seconds'],
    (history) => {
      cutOff('r1', 9.9 * second, 14 * second)(history);
      behind('r2', 15.9 * second)(history);
    },
  ],
  [
    'a node that was cut off shows the old setup for too long',
    ['in-force-within-two-seconds'],
    (history) => {
      cutOff('r2', 9.9 * second, 14 * second)(history);
      behind('r2', 16.4 * second)(history);
    },
  ],
  [
    'the core is split, which parts no router from its majority',
    ['in-force-within-two-seconds'],
    (history) => {
      for (const other of ['c2', 'c3'])
        history.troubles.push(
          { type: 'cut', atUs: 9 * second, from: 'c1', to: other },
          { type: 'cut', atUs: 9 * second, from: other, to: 'c1' },
        );
      history.troubles.push({ type: 'heal', atUs: 14 * second });
      behind('r2', 14 * second)(history);
    },
  ],
  [
    'a put whose taking was told later is not in force',
    ['in-force-within-two-seconds'],
    (history) => {
      history.puts[1] = putOf(2, {
        outcome: 'unknown',
        revision: undefined,
        later: { toldUs: 14 * second, outcome: 'taken', revision: 2 },
      });
      behind('r2', 17 * second)(history);
    },
  ],
  [
    'a node goes back to an older setup',
    ['in-force-within-two-seconds', 'never-backwards'],
    ({ watches }) => void watches.push(watchOf('r1', 45 * second, 1)),
  ],
  [
    'a revision is given twice',
    ['one-winner'],
    ({ puts }) => void puts.push(putOf(2, { proposal: 'put-x', digest: 'd2' })),
  ],
  [
    'a put is taken although it was for another revision',
    ['one-winner'],
    ({ puts }) => void puts.splice(1, 1, putOf(2, { expected: 0 })),
  ],
  [
    'a setup that lost its race is in force',
    ['only-taken-in-force'],
    ({ puts, watches }) => {
      puts.push(putOf(2, { proposal: 'put-x', digest: 'dx', outcome: 'lost-race', revision: undefined }));
      watches.push(watchOf('r1', 20 * second, 2, { digest: 'dx' }));
    },
  ],
  [
    'an invalid setup is told taken',
    ['invalid-never-taken'],
    ({ puts }) => void puts.splice(1, 1, putOf(2, { isFaulty: true })),
  ],
  [
    'an invalid setup is read',
    ['only-taken-in-force'],
    ({ puts, reads }) => {
      puts.push(putOf(2, { proposal: 'put-x', digest: 'dx', outcome: 'invalid', revision: undefined }));
      reads.push({ askedUs: 49.5 * second, toldUs: 49.6 * second, revision: 2, digest: 'dx' });
    },
  ],
  [
    'a withdrawn setup is in force',
    ['only-taken-in-force'],
    ({ puts, watches }) => {
      puts.push(
        putOf(3, {
          outcome: 'unknown',
          revision: undefined,
          later: { toldUs: 17 * second, outcome: 'withdrawn', revision: undefined },
        }),
      );
      watches.push(watchOf('r1', 50 * second, 3));
    },
  ],
  [
    'an unknown put may be in force',
    [],
    ({ puts, watches }) => {
      puts.push(putOf(3, { outcome: 'unknown', revision: undefined }));
      watches.push(watchOf('r1', 50 * second, 3));
    },
  ],
  [
    'a setup that nobody put is in force',
    ['only-taken-in-force'],
    ({ watches }) => void watches.push(watchOf('r1', 50 * second, 3)),
  ],
  [
    'a setup stands at another revision than was told',
    ['only-taken-in-force'],
    ({ watches }) => void watches.push(watchOf('r1', 50 * second, 3, { digest: 'd2' })),
  ],
  [
    'a reading goes back',
    ['taken-stays'],
    ({ reads }) => void reads.push({ askedUs: 49.5 * second, toldUs: 49.6 * second, revision: 1, digest: 'd1' }),
  ],
  ['a taken setup is not read again', ['taken-stays'], ({ reads }) => void reads.splice(1, 1)],
  ['a few calls are refused although all is well', [], refusedTimes('no-claim', 2)],
  ['three of a hundred calls are refused although all is well', ['almost-no-refusals'], refusedTimes('no-claim', 3)],
  [
    'refusals while the core is out of reach',
    [],
    (history) => {
      for (const core of ['c1', 'c2'])
        history.troubles.push({ type: 'begins', atUs: 9 * second, who: core, what: 'down' });
      for (const core of ['c1', 'c2'])
        history.troubles.push({ type: 'ends', atUs: 12 * second, who: core, what: 'down' });
      refusedTimes('no-claim', 30)(history);
    },
  ],
  [
    'refusals while one core machine of three is down',
    ['almost-no-refusals'],
    (history) => {
      history.troubles.push(
        { type: 'begins', atUs: 9 * second, who: 'c1', what: 'down' },
        { type: 'ends', atUs: 12 * second, who: 'c1', what: 'down' },
      );
      refusedTimes('no-claim', 30)(history);
    },
  ],
  [
    'refusals while all model servers are dark',
    [],
    (history) => {
      for (const server of ['s1', 's2'])
        history.troubles.push(
          { type: 'begins', atUs: 9 * second, who: server, what: 'dark' },
          { type: 'ends', atUs: 12 * second, who: server, what: 'dark' },
        );
      refusedTimes('no-server', 30)(history);
    },
  ],
  [
    'refusals while one server of two is dark',
    ['almost-no-refusals'],
    (history) => {
      history.troubles.push(
        { type: 'begins', atUs: 9 * second, who: 's1', what: 'dark' },
        { type: 'ends', atUs: 12 * second, who: 's1', what: 'dark' },
      );
      refusedTimes('no-server', 30)(history);
    },
  ],
  [
    'a call fails 13 s after trouble ended',
    ['back-within-twelve-seconds'],
    ({ calls }) => void calls.push(callOf('a', { startUs: lateUs, endUs: lateUs + second, end: 'cut', pieces: [] })),
  ],
  [
    'a call fails 11 s after trouble ended',
    [],
    ({ calls }) =>
      void calls.push(callOf('a', { startUs: lateUs - 2 * second, endUs: lateUs, end: 'cut', pieces: [] })),
  ],
  [
    'a router stays unready',
    ['back-within-twelve-seconds'],
    ({ watches }) =>
      watches.forEach((watch, place) => {
        if (watch.node === 'r2') watches[place] = { ...watch, ready: false };
      }),
  ],
  [
    'a router is never heard of again',
    ['back-within-twelve-seconds'],
    ({ watches }) => {
      const heard = watches.filter((watch) => watch.node !== 'r2' || watch.atUs < troubleEndUs);
      watches.splice(0, watches.length, ...heard);
    },
  ],
];

for (const [name, expected, change] of cases) test(name, () => assert.equal(rulesOf(change), [...expected]));

test('planned changes may cut nothing, whatever the moment', () => {
  for (const end of ['cut', 'lost', 'unknown'] as const) {
    const change = ({ calls }: History): void => void calls.push(callOf('a', { end, pieces: [] }));
    assert.equal(rulesOf(change), []);
    assert.equal(rulesOf(change, { plannedOnly: true }), ['planned-changes-cut-nothing']);
  }
});

test('a stream that was under way for about eight seconds may be broken off by a planned change, a shorter one may not', () => {
  const cutAfter =
    (span: number) =>
    ({ calls }: History): void =>
      void calls.push(callOf('a', { end: 'cut', pieces: [], startUs: 10 * second, endUs: 10 * second + span }));
  assert.equal(rulesOf(cutAfter(7.8 * second), { plannedOnly: true }), []);
  assert.equal(rulesOf(cutAfter(7.6 * second), { plannedOnly: true }), ['planned-changes-cut-nothing']);
});

test('each refusal is put down to what was done to the world', () => {
  const history = cleanHistory();
  history.troubles.push(
    { type: 'begins', atUs: 9 * second, who: 'r2', what: 'frozen' },
    { type: 'ends', atUs: 10 * second, who: 'r2', what: 'frozen' },
  );
  history.troubles.push(
    { type: 'begins', atUs: 9 * second, who: 'callers', what: 'crowd' },
    { type: 'ends', atUs: 12 * second, who: 'callers', what: 'crowd' },
  );
  history.calls.push(
    refusalOf('a', 'not-ready', { node: 'r2' }),
    refusalOf('b', 'not-ready'),
    refusalOf('c', 'over-pressure'),
    refusalOf('d', 'over-pressure', { startUs: 20 * second, endUs: 20 * second }),
  );
  assert.equal(
    refusalsOf(history, terms.serviceOf).map(({ cause }) => cause),
    ['node itself hit', 'nothing', 'crowd', 'nothing'],
  );
});

test.run();
