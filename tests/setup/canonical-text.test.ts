import { assert as holds, dictionary, jsonValue, property, string } from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { itemJson, sortedJson } from '../../src/setup/document/canonical-json.js';

/** A reference implementation: a replacer for JSON.stringify that sorts keys. */
const withSortedKeys = (_key: string, value: unknown): unknown =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)))
    : value;

test('the sorted JSON of any value parses to the same value as that of the reference implementation', () =>
  holds(
    property(dictionary(string(), jsonValue()), (value) =>
      assert.equal(JSON.parse(sortedJson(value)), JSON.parse(JSON.stringify(value, withSortedKeys))),
    ),
  ));

test('undefined fields are omitted, and the order of keys makes no difference', () => {
  assert.is(sortedJson({ b: 1, a: undefined, c: [undefined, { z: 1, y: 2 }] }), '{"b":1,"c":[null,{"y":2,"z":1}]}');
  assert.is(sortedJson({ a: 1, b: 2 }), sortedJson({ b: 2, a: 1 }));
});

test('copies of an item have the same text', () => {
  const item = { name: 'a', weight: 2 };
  assert.is(itemJson(item), itemJson(structuredClone(item)));
});

test.run();
