import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { ExchangeTrace } from '../../src/router/explain/exchange-trace.js';
import { explainTrace } from '../../src/router/explain/explain-trace.js';
import { journalTextOf, readJournal } from '../../src/router/explain/saved-journal.js';
import { readyFleet, second, type SmallFleet } from '../sim/small-fleet.js';

const tracesOf = (fleet: SmallFleet): readonly ExchangeTrace[] =>
  fleet.routers.flatMap((router) => router.tasks()?.router.stories.all() ?? []);

/** The explanation of the exchange that ran a work, from a journal that was saved and read back. */
const savedExplanationOf = (fleet: SmallFleet, work: string): string => {
  const run = fleet.history.runs.find((candidate) => candidate.work === work);
  const traces = readJournal(journalTextOf('r1', tracesOf(fleet))).unsafeCoerce();
  const trace = traces.find((candidate) => candidate.exchange === run?.exchange);
  assert.ok(trace, `the journal has no trace of ${work}`);
  return explainTrace(trace).join('\n');
};

test('a saved journal explains why an exchange was resumed elsewhere, held behind a prefill, or has an unknown outcome', async () => {
  const fleet = await readyFleet(1, 1, 3);
  await fleet.play(5 * second);
  fleet.call({ work: 'first', opening: 'same', pieces: 60 });
  fleet.call({ work: 'second', opening: 'same', pieces: 2 });
  fleet.call({ work: 'once', kind: 'summary', key: 'once', opening: 'other', pieces: 60 });
  await fleet.play(second);
  for (const work of ['first', 'once']) {
    const run = fleet.history.runs.find((candidate) => candidate.work === work);
    fleet.models.find((server) => server.listed.id === run?.server)?.crash();
  }
  await fleet.play(8 * second);
  const explanations = ['first', 'second'].map((work) => savedExplanationOf(fleet, work));
  assert.match(explanations.join('\n'), /was held behind the prefill of the same opening that \S+ had begun/);
  assert.match(
    savedExplanationOf(fleet, 'first'),
    /carried over at piece \d+, attempt 2, at \S+ \(an extra try\), since/,
  );
  assert.match(savedExplanationOf(fleet, 'first'), 'ended well after 60 pieces');
  assert.match(savedExplanationOf(fleet, 'once'), 'was broken off, visibly: outcome-unknown');
});

test('it explains why an exchange was refused: no server, and no claim', async () => {
  const fleet = await readyFleet(2, 1, 2);
  for (const server of fleet.models) server.crash();
  await fleet.play(3 * second);
  fleet.call({ work: 'none' });
  for (const machine of fleet.core.machines) machine.kill();
  fleet.call({ work: 'keyed', kind: 'summary', key: 'keyed' });
  await fleet.play(8 * second);
  const texts = tracesOf(fleet).map((trace) => explainTrace(trace).join('\n'));
  assert.ok(texts.some((text) => text.includes('was refused: no-server; it did not run and never will')));
  assert.ok(texts.some((text) => text.includes('kind summary') && text.includes('was refused: no-claim')));
});

test('a damaged journal is an error that names the line', () => {
  const trace: ExchangeTrace = {
    exchange: 'x',
    kind: 'k',
    tier: 't',
    service: 's',
    setupRevision: 1,
    listVersion: 1,
    steps: [{ at: 1, what: 'deliver', facts: {} }],
  };
  const text = journalTextOf('r1', [trace, { ...trace, exchange: 'y' }]);
  assert.is(readJournal(text).unsafeCoerce().length, 2);
  const [headLine = '', first = '', secondLine = '', endLine = ''] = text.split('\n');
  const cases: readonly (readonly [string, string])[] = [
    ['', 'line 1'],
    [text.slice(0, -20), 'the last line is not whole'],
    [`${[headLine, first, secondLine].join('\n')}\n`, 'line 3'],
    [`${[first, secondLine, endLine].join('\n')}\n`, 'line 1'],
    [`${[headLine, first, endLine].join('\n')}\n`, '2 stories should be there, 1 are'],
    [`${[headLine, first.replace('"kind":"k",', ''), secondLine, endLine].join('\n')}\n`, 'line 2: kind'],
    [`${[headLine, first, secondLine.slice(0, 10), endLine].join('\n')}\n`, 'line 3: not JSON'],
  ];
  for (const [damagedText, message] of cases) {
    const error = readJournal(damagedText).swap().unsafeCoerce();
    assert.is(error.type, 'bad-journal');
    assert.match(error.message, message);
  }
});

test.run();
