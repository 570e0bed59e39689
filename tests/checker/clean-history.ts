import { pieceText } from '../../src/rehearsal/stand-in/work-text.js';
import { termsOf } from '../../src/rehearsal/checker/terms-of.js';
import type { CallRecord } from '../../src/rehearsal/history/call-record.js';
import { openHistory, type History } from '../../src/rehearsal/history/history.js';
import type { RunRecord } from '../../src/rehearsal/history/run-record.js';
import type { PutRecord } from '../../src/rehearsal/history/setup-record.js';
import type { WatchRecord } from '../../src/rehearsal/history/watch-record.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

export const second = 1_000_000;
export const troubleEndUs = 30 * second;

export const terms = termsOf(sampleSetup('terms'), false, troubleEndUs);

export const callOf = (work: string, more: Partial<CallRecord> = {}): CallRecord => ({
  work,
  call: work,
  kind: 'question',
  key: undefined,
  node: 'r1',
  exchange: undefined,
  startUs: 10 * second,
  firstPieceUs: 10.1 * second,
  endUs: 11 * second,
  end: 'complete',
  status: 200,
  pieces: [pieceText(work, 0), pieceText(work, 1)],
  wanted: 2,
  retryAfter: undefined,
  error: undefined,
  ...more,
});

export const refusalOf = (work: string, error: string, more: Partial<CallRecord> = {}): CallRecord =>
  callOf(work, { end: 'refused', error, status: 503, pieces: [], retryAfter: '1', firstPieceUs: undefined, ...more });

export const runOf = (work: string, more: Partial<RunRecord> = {}): RunRecord => ({
  server: 's1',
  incarnation: 'i1',
  ownService: 'model',
  askedService: 'model',
  call: work,
  work,
  kind: 'question',
  exchange: `x-${work}`,
  fromPiece: 0,
  opening: 'o',
  atUs: 10.05 * second,
  ...more,
});

export const putOf = (revision: number, more: Partial<PutRecord> = {}): PutRecord => ({
  proposal: `put-${revision}`,
  expected: revision - 1,
  name: `setup-${revision}`,
  digest: `d${revision}`,
  isFaulty: false,
  askedUs: revision * 5 * second - 100_000,
  toldUs: revision * 5 * second,
  outcome: 'taken',
  revision,
  ...more,
});

export const watchOf = (
  node: string,
  atUs: number,
  revision: number,
  more: Partial<WatchRecord> = {},
): WatchRecord => ({
  node,
  boot: 1,
  atUs,
  ready: true,
  revision,
  digest: `d${revision}`,
  version: 1,
  ...more,
});

/** A day on which nothing goes wrong: two setups, two routers, three core machines, two servers. */
export const cleanHistory = (): History => {
  const history = openHistory();
  for (const node of ['r1', 'r2']) history.nodes.push({ node, role: 'router' });
  for (const node of ['c1', 'c2', 'c3']) history.nodes.push({ node, role: 'control' });
  for (const server of ['s1', 's2']) history.servers.push({ server, service: 'model', openedUs: 0 });
  history.servers.push({ server: 'w1', service: 'status', openedUs: 0 });
  history.puts.push(putOf(1), putOf(2));
  for (let atUs = 5 * second; atUs < 50 * second; atUs += 200_000)
    for (const node of ['r1', 'r2']) history.watches.push(watchOf(node, atUs, atUs < 11 * second ? 1 : 2));
  history.reads.push({ askedUs: 6 * second, toldUs: 6.1 * second, revision: 1, digest: 'd1' });
  history.reads.push({ askedUs: 49 * second, toldUs: 49.1 * second, revision: 2, digest: 'd2' });
  for (let place = 0; place < 100; place += 1) {
    const startUs = 10 * second + place * 350_000;
    history.calls.push(callOf(`w${place}`, { startUs, endUs: startUs + second }));
    history.runs.push(runOf(`w${place}`, { atUs: startUs + 50_000 }));
    history.tries.push({ service: 'model', call: `w${place}`, atUs: startUs + 50_000 });
  }
  return history;
};
