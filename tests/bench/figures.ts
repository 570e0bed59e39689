import type { Micros } from '../../src/common/micros.js';
import { stepDecision } from '../../src/decision/machine/step/step.js';
import { initialDecisionView, type DecisionView } from '../../src/decision/machine/view/decision-view.js';
import type { DecisionEvent } from '../../src/decision/machine/event/decision-event.js';
import { shareUnchanged } from '../../src/setup/delta/share-unchanged.js';
import type { Rule } from '../../src/setup/document/rule.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { listOf, recordOf, second, serverOf, setup } from '../decision/fixtures.js';

/** What one case of the benchmark is made of. */
export type BenchCase = { readonly openings: number; readonly inFlight: number; readonly servers: number };

const processorUs = (): Micros => {
  const { user, system } = process.cpuUsage();
  return user + system;
};

const benchSetup = {
  ...setup,
  warmup: { ...setup.warmup, vnodes: 16, boundUs: 3600 * second, prefixesPerRange: 1000 },
  pressure: { ...setup.pressure, slots: 1_000_000 },
  rules: setup.rules.map((rule) => ({ ...rule, budgetUs: 3600 * second, firstPieceUs: 3600 * second })),
};

const benchServers = (count: number, joining: number, atUs: Micros) => [
  ...Array.from({ length: count }, (_, place) => serverOf(`s${place}`, 0, { locality: `l${place % 3}` })),
  ...Array.from({ length: joining }, (_, place) => serverOf(`j${place}`, atUs, { locality: `l${place % 3}` })),
];

const run = (view: DecisionView, events: readonly DecisionEvent[]): DecisionView =>
  events.reduce((reachedView, event) => stepDecision(reachedView, event).view, view);

/** Plays exchanges one after another, each ending once so many others have begun, with one join under way and a tick for every ten. */
const played = (
  start: DecisionView,
  first: number,
  count: number,
  { openings, inFlight }: BenchCase,
  atUs: Micros,
): DecisionView => {
  let view = start;
  let draw = first + 1;
  for (let place = first; place < first + count; place += 1) {
    const at = atUs + place * 1000;
    draw = (draw * 48271) % 2147483647;
    view = stepDecision(view, {
      type: 'exchange',
      at,
      exchange: `x${place}`,
      kind: 'ask',
      prefix: `opening ${place < openings ? place : draw % openings}`,
    }).view;
    const ending = view.exchanges.get(`x${place - inFlight}`);
    if (ending !== undefined) {
      const named = { at, exchange: ending.exchange, attempt: ending.attempt };
      view = run(view, [
        { type: 'sent', ...named },
        { type: 'firstPiece', ...named },
        { type: 'done', ...named },
      ]);
    }
    if (place % 10 === 0) view = stepDecision(view, { type: 'tick', at }).view;
  }
  return view;
};

/** Microseconds of processor that one exchange takes from its beginning to its end. */
export const exchangeCost = (benchCase: BenchCase): number => {
  const listedView = run(initialDecisionView, [
    { type: 'setup', at: 0, record: recordOf(benchSetup) },
    { type: 'list', at: second, list: listOf(1, 60 * second, benchServers(benchCase.servers, 1, 60 * second)) },
  ]);
  const warmCount = Math.max(benchCase.openings, 1000) + benchCase.inFlight;
  const warmView = played(listedView, 0, warmCount, benchCase, second);
  const count = 1000;
  const beginUs = processorUs();
  played(warmView, warmCount, count, benchCase, second);
  return (processorUs() - beginUs) / count;
};

/** Microseconds of processor that one list with a new server takes. */
export const listCost = (servers: number): number => {
  const view = run(initialDecisionView, [
    { type: 'setup', at: 0, record: recordOf(benchSetup) },
    { type: 'list', at: second, list: listOf(1, 60 * second, benchServers(servers, 0, 0)) },
  ]);
  const changes = Array.from({ length: 10 }, (_, place): DecisionEvent => {
    const atUs = (61 + place) * second;
    return {
      type: 'list',
      at: (2 + place) * second,
      list: listOf(2 + place, atUs, benchServers(servers, 1 + (place % 2), 60 * second)),
    };
  });
  run(view, changes);
  const beginUs = processorUs();
  run(view, changes);
  return (processorUs() - beginUs) / changes.length;
};

const benchRule = (place: number): Rule => ({
  kind: `route-${place}`,
  service: 'status',
  tier: 'first',
  repeatable: true,
  resumable: false,
  budgetUs: second,
  firstPieceUs: second,
  silenceUs: second,
});

/** Microseconds of processor that one configuration takes which differs from the one before it in its routes only. */
export const routeChangeCost = (servers: number, routes: number): number => {
  const recordAt = (revision: number): SetupRecord => {
    const rules = [...benchSetup.rules, ...Array.from({ length: routes + revision }, (_, place) => benchRule(place))];
    return { ...recordOf({ ...benchSetup, rules }), revision };
  };
  const firstRecord = recordAt(1);
  const view = run(initialDecisionView, [
    { type: 'setup', at: 0, record: firstRecord },
    { type: 'list', at: second, list: listOf(1, 60 * second, benchServers(servers, 0, 0)) },
  ]);
  let record = firstRecord;
  const changes = Array.from({ length: 50 }, (_, place): DecisionEvent => {
    record = shareUnchanged(record, recordAt(2 + place));
    return { type: 'setup', at: (2 + place) * second, record };
  });
  const beginUs = processorUs();
  run(view, changes);
  return (processorUs() - beginUs) / changes.length;
};
