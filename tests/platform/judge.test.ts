import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { judge } from './stand-in/judge.js';
import type { ClientTry, Seen, ServerArrival } from './stand-in/seen.js';
import { plainBytes, streamText } from './stand-in/server-text.js';

const soundHeaders = { 'x-client': 'kept', 'ledgehill-tenant': 'archive' };

const arrivalOf = (more: Partial<ServerArrival> = {}): ServerArrival => ({
  server: 'i-1',
  service: 'gallery',
  attempt: 'a1',
  method: 'POST',
  target: '/x',
  body: 'b',
  lastEventId: undefined,
  headers: soundHeaders,
  atUs: 1,
  ran: true,
  broken: false,
  ...more,
});

const tryOf = (more: Partial<ClientTry> = {}): ClientTry => ({
  attempt: 'a1',
  route: 'once',
  kind: 'once',
  node: 'n',
  method: 'POST',
  target: '/x',
  body: 'b',
  lastEventId: 0,
  events: 0,
  sentUs: 0,
  endUs: 1,
  status: 200,
  seal: 'i-1.1',
  bytes: plainBytes('gallery', 'b').toString('latin1'),
  whole: true,
  error: undefined,
  ...more,
});

const stream: Partial<ClientTry> = { kind: 'stream', events: 3, bytes: streamText('b', 0, 3) };
const rulesIn = (seen: Seen): readonly string[] =>
  judge(seen, () => ['gallery']).map((finding) => finding.split(' ')[0] ?? '');

test('a clean history has no findings', () => {
  assert.equal(rulesIn({ arrivals: [arrivalOf(), arrivalOf({ ran: false })], tries: [tryOf()] }), []);
  assert.equal(rulesIn({ arrivals: [arrivalOf()], tries: [tryOf(stream)] }), []);
  assert.equal(
    rulesIn({ arrivals: [arrivalOf()], tries: [tryOf({ ...stream, lastEventId: 2, bytes: streamText('b', 2, 3) })] }),
    [],
  );
  assert.equal(
    rulesIn({ arrivals: [arrivalOf()], tries: [tryOf({ ...stream, whole: false, bytes: streamText('b', 0, 2) })] }),
    [],
  );
  assert.equal(rulesIn({ arrivals: [], tries: [tryOf({ status: 503, seal: undefined })] }), []);
});

test('each breach is found', () => {
  const cases: readonly (readonly [string, Seen])[] = [
    ['TWICE', { arrivals: [arrivalOf(), arrivalOf({ server: 'i-2' })], tries: [tryOf()] }],
    ['REFUSED', { arrivals: [arrivalOf()], tries: [tryOf({ status: 503, seal: undefined })] }],
    ['UNASKED', { arrivals: [arrivalOf({ attempt: 'a2', ran: false })], tries: [] }],
    ['UNASKED', { arrivals: [arrivalOf({ body: 'c' })], tries: [tryOf()] }],
    ['UNASKED', { arrivals: [arrivalOf({ target: '/x?' })], tries: [tryOf()] }],
    ['HEADERS', { arrivals: [arrivalOf({ headers: { 'ledgehill-tenant': 'archive' } })], tries: [tryOf()] }],
    [
      'UNASKED',
      { arrivals: [arrivalOf({ headers: { ...soundHeaders, authorization: 'Bearer x' } })], tries: [tryOf()] },
    ],
    ['UNASKED', { arrivals: [arrivalOf({ headers: { 'x-client': 'kept' } })], tries: [tryOf()] }],
    ['ROUTE', { arrivals: [arrivalOf({ service: 'office' })], tries: [tryOf()] }],
    ['MIXED', { arrivals: [arrivalOf()], tries: [tryOf({ seal: undefined })] }],
    ['MIXED', { arrivals: [arrivalOf()], tries: [tryOf({ seal: 'i-2.1' })] }],
    ['MIXED', { arrivals: [arrivalOf()], tries: [tryOf({ bytes: 'other' })] }],
    ['ORDER', { arrivals: [arrivalOf()], tries: [tryOf({ ...stream, bytes: streamText('b', 0, 2) })] }],
    ['ORDER', { arrivals: [arrivalOf()], tries: [tryOf({ ...stream, whole: false, bytes: streamText('b', 1, 3) })] }],
    ['ORDER', { arrivals: [arrivalOf()], tries: [tryOf({ ...stream, lastEventId: 1 })] }],
  ];
  for (const [rule, seen] of cases) assert.equal(rulesIn(seen), [rule]);
});

test.run();
