import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { DecisionEvent } from '../../src/decision/machine/event/decision-event.js';
import { stepDecision } from '../../src/decision/machine/step/step.js';
import { initialDecisionView, type DecisionView } from '../../src/decision/machine/view/decision-view.js';
import { prefixOf } from '../../src/decision/ring/prefix.js';
import type { Rule } from '../../src/setup/document/rule.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { initialServersAt, listOf, recordOf, second, setup, warmup } from './fixtures.js';

const serverCount = 13;
const arrivalGapUs = 5_000;
const exchangeUs = 200_000;
const changeGapUs = 150_000;
const trafficUs = 20 * second;

const ruleAt = (index: number): Rule => ({
  kind: `more-${index}`,
  service: 'status',
  tier: 'first',
  repeatable: true,
  resumable: false,
  budgetUs: second,
  firstPieceUs: second,
  silenceUs: second,
});

/** Revision n has n more routes, which the traffic does not use. Revisions share no objects, so none is equal by identity. */
const recordAt = (revision: number): SetupRecord =>
  structuredClone({
    ...recordOf({
      ...setup,
      rules: [...setup.rules, ...Array.from({ length: revision }, (_, index) => ruleAt(index))],
    }),
    revision,
  });

const traffic = (): readonly DecisionEvent[] =>
  Array.from({ length: trafficUs / arrivalGapUs }, (_, index) => index).flatMap((index): readonly DecisionEvent[] => {
    const at = index * arrivalGapUs + 1;
    const attempt1 = { exchange: `x${index}`, attempt: 1 };
    const prefixText = `opening ${(index * 48_271) % 97}`;
    return [
      {
        type: 'exchange',
        at,
        exchange: attempt1.exchange,
        kind: index % 3 === 0 ? 'draft' : 'ask',
        prefix: prefixOf('model', prefixText),
        work: {
          levels: [{ prefix: prefixOf('model', prefixText), tokens: 2_000 }],
          readTokens: 3_000,
          writeTokens: 50,
        },
      },
      { type: 'sent', at: at + 1, ...attempt1 },
      { type: 'firstPiece', at: at + 60_000, ...attempt1 },
      { type: 'done', at: at + exchangeUs, ...attempt1 },
    ];
  });

const changes = (): readonly DecisionEvent[] =>
  Array.from({ length: trafficUs / changeGapUs }, (_, index) => ({
    type: 'setup' as const,
    at: (index + 1) * changeGapUs,
    record: recordAt(index + 2),
  }));

const initialView = (): DecisionView =>
  [
    { type: 'setup' as const, at: 0, record: recordAt(1) },
    { type: 'list' as const, at: 0, list: listOf(1, 90 * second, initialServersAt(serverCount, 0)) },
  ].reduce<DecisionView>((view, event) => stepDecision(view, event).view, initialDecisionView);

/** Each exchange and the server it was sent to, in order. */
const deliveriesOf = (events: readonly DecisionEvent[]): readonly string[] => {
  const deliveries: string[] = [];
  [...events]
    .sort((left, right) => left.at - right.at)
    .reduce<DecisionView>((view, event) => {
      const step = stepDecision(view, event);
      for (const decision of step.effects)
        if (decision.type === 'deliver') deliveries.push(`${decision.exchange} ${decision.server}`);
      return step.view;
    }, initialView());
  return deliveries;
};

test('changes of routes that the traffic does not use leave every choice of a server as it was', () => {
  const undisturbed = deliveriesOf(traffic());
  assert.ok(undisturbed.length >= trafficUs / arrivalGapUs);
  assert.equal(deliveriesOf([...traffic(), ...changes()]), undisturbed);
});

test('a change of routes alone keeps the topology and all learned state', () => {
  const view = [...traffic().slice(0, 400)].reduce<DecisionView>(
    (previous, event) => stepDecision(previous, event).view,
    initialView(),
  );
  const changed = stepDecision(view, { type: 'setup', at: view.atUs, record: recordAt(2) }).view;
  assert.is(changed.record?.revision, 2);
  assert.is(changed.topology, view.topology);
  assert.is(changed.cachedPrefixes, view.cachedPrefixes);
  assert.is(changed.hotness, view.hotness);
  assert.is(changed.prefillEndTimes, view.prefillEndTimes);
  assert.is(changed.flights, view.flights);
  assert.is(changed.pressure, view.pressure);
  assert.is(changed.ringPressure, view.ringPressure);
  assert.is(changed.exchanges, view.exchanges);
});

test('a change of services, of warm-up settings or of the leaving grace gives a new topology', () => {
  const view = initialView();
  const base = recordAt(2);
  const changedRecords: readonly SetupRecord[] = [
    { ...base, setup: { ...base.setup, services: [...base.setup.services, { name: 'more', type: 'model' }] } },
    { ...base, epochs: [...base.epochs, { sinceUs: 1, warmup: { ...warmup, vnodes: 4 } }] },
    { ...base, setup: { ...base.setup, leaving: { graceUs: second } } },
  ];
  for (const record of changedRecords)
    assert.is.not(stepDecision(view, { type: 'setup', at: 1, record }).view.topology, view.topology);
});

test.run();
