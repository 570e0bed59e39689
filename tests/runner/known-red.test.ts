import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { ignoredFiles, mostKnownRed, readKnownRed } from './known-red.js';

const line = 'spread/slow-processors.test: a change takes too many hops, issue 21';

test('a line names a test, its cause and its issue, and passes over that file alone', () => {
  const known = readKnownRed(`${line}\n`).orDefault([]);
  assert.equal(known, [{ test: 'spread/slow-processors.test', cause: 'a change takes too many hops', issue: '21' }]);
  const [ignored] = ignoredFiles(known);
  assert.ok(ignored?.test('dist/tests/spread/slow-processors.test.js'));
  assert.not(ignored?.test('dist/tests/spread/slow-processors2.test.js'));
  assert.not(ignored?.test('dist/tests/spread/spread.test.js'));
  assert.not(ignored?.test('dist/tests/other-spread/slow-processors.test.js.map'));
});

test('an empty list passes over nothing', () => assert.equal(readKnownRed('\n').orDefault([]), []));

test('a line of another form, or one test too many, is an error', () => {
  assert.ok(readKnownRed('spread/slow-processors.test').isLeft());
  assert.ok(readKnownRed('.*: everything, issue 1').isLeft());
  assert.ok(readKnownRed(Array.from({ length: mostKnownRed + 1 }, () => line).join('\n')).isLeft());
});

test.run();
