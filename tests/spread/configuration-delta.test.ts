import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { calculateObjectSize, deserialize, serialize } from 'bson';
import type { Rule } from '../../src/setup/document/rule.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { isRecordDelta } from '../../src/setup/check/setup-guard.js';
import { recordDeltaOf, withRecordDelta } from '../../src/setup/delta/record-delta.js';
import { recordDigestOf } from '../../src/setup/delta/record-digest.js';
import { isFrame } from '../../src/spread/frame/frame-guard.js';
import type { SpreadFrame } from '../../src/spread/machine/spread-event.js';
import { startSpreadView, type SpreadView } from '../../src/spread/machine/spread-view.js';
import { stepSpread } from '../../src/spread/machine/step.js';
import { setup, warmup } from '../decision/figures.js';

const routeCount = 400;
const changeCount = 40;
/** What one change to one node may cost in bytes, the frame that asks for it included. */
const maxBytesPerChange = 2_000;

const ruleOf = (name: string, budgetUs: number): Rule => ({
  kind: name,
  service: 'status',
  match: { host: 'a.example', path: `/${name}/` },
  tier: 'first',
  repeatable: true,
  resumable: false,
  budgetUs,
  firstPieceUs: 1_000_000,
  silenceUs: 1_000_000,
});

/** The operator's text for some rules; its version stands first, as operators write it. */
const textOf = (version: number, rules: readonly Rule[]): string =>
  JSON.stringify({
    ver: version,
    routes: rules.map(({ kind, service, budgetUs }) => ({ name: kind, host: 'a.example', svc: service, ms: budgetUs })),
  });

/** Revision n has one route more than the one before it, and another time for one route. */
const recordAt = (revision: number): SetupRecord => {
  const rules = [
    ...setup.rules,
    ...Array.from({ length: routeCount + revision }, (_, place) =>
      ruleOf(`route-${place}`, place === 7 ? 1_000_000 + revision : 1_000_000),
    ),
  ];
  return {
    revision,
    takenAtUs: revision * 150_000,
    setup: { ...setup, rules },
    original: { version: revision, text: textOf(revision, rules) },
    epochs: [{ sinceUs: 0, warmup }],
  };
};

const copyOf = (record: SetupRecord): SetupRecord => structuredClone(record);

const viewOf = (node: string): SpreadView =>
  startSpreadView({ node, role: 'router', address: `${node}:1`, http: `${node}:2`, locality: 'a' }, []);

/** The frames of a view's answer to one frame, as they come off the wire. */
const answersOf = (
  view: SpreadView,
  from: string,
  frame: SpreadFrame,
): { readonly view: SpreadView; readonly frames: readonly SpreadFrame[] } => {
  const step = stepSpread(view, { type: 'frame', at: view.atUs + 1, from, frame });
  const frames = step.effects.flatMap((effect) => {
    if (effect.type !== 'send' || effect.address !== from) return [];
    const received: unknown = deserialize(serialize(effect.frame));
    if (!isFrame(received)) throw new Error('a frame does not hold');
    return received.type === 'digest' ||
      received.type === 'inquire' ||
      received.type === 'setup' ||
      received.type === 'setup-delta' ||
      received.type === 'list'
      ? [received]
      : [];
  });
  return { view: step.view, frames };
};

type Pull = { readonly sender: SpreadView; readonly receiver: SpreadView; readonly frames: readonly SpreadFrame[] };

const configurationFramesOf = (frames: readonly SpreadFrame[]): readonly SpreadFrame[] =>
  frames.filter(({ type }) => type === 'setup' || type === 'setup-delta');

/** Lets one node pull the configuration of another, until neither says anything of it. */
const pulled = (givenSender: SpreadView, givenReceiver: SpreadView): Pull => {
  let sender = givenSender;
  let receiver = givenReceiver;
  const passed: SpreadFrame[] = [];
  const refreshed = stepSpread(receiver, { type: 'refresh', at: receiver.atUs + 1 });
  receiver = refreshed.view;
  let inquiries: readonly SpreadFrame[] = [
    {
      type: 'inquire',
      inquiry: 1,
      revision: receiver.record?.revision ?? 0,
      version: 0,
      ...(receiver.record === undefined
        ? {}
        : { base: { revision: receiver.record.revision, digest: recordDigestOf(receiver.record) } }),
    },
  ];
  for (let round = 0; round < 4 && inquiries.length > 0; round += 1) {
    const answers = inquiries.map((inquiry) => {
      passed.push(inquiry);
      const answer = answersOf(sender, receiver.self.address, inquiry);
      sender = answer.view;
      return answer.frames;
    });
    inquiries = configurationFramesOf(answers.flat()).flatMap((frame) => {
      passed.push(frame);
      const answer = answersOf(receiver, sender.self.address, frame);
      receiver = answer.view;
      return answer.frames.filter(({ type }) => type === 'inquire');
    });
  }
  return { sender, receiver, frames: passed };
};

const withOffered = (view: SpreadView, record: SetupRecord): SpreadView =>
  stepSpread(view, { type: 'setup', at: view.atUs + 150_000, record }).view;

const bytesOf = (frames: readonly SpreadFrame[]): number =>
  frames.reduce((sum, frame) => sum + calculateObjectSize(frame), 0);

test('a change of one route among four hundred costs a node the change, not the whole', () => {
  let { sender, receiver } = pulled(withOffered(viewOf('core'), recordAt(1)), viewOf('router'));
  for (let revision = 2; revision <= changeCount; revision += 1) {
    const pull = pulled(withOffered(sender, copyOf(recordAt(revision))), receiver);
    ({ sender, receiver } = pull);
    assert.is(receiver.record?.revision, revision);
    assert.ok(bytesOf(pull.frames) <= maxBytesPerChange, `${bytesOf(pull.frames)} bytes for revision ${revision}`);
  }
  assert.equal(receiver.record?.original, recordAt(changeCount).original, 'the text of the operator is whole');
  assert.is(
    receiver.record === undefined ? '' : recordDigestOf(receiver.record),
    recordDigestOf(recordAt(changeCount)),
  );
});

test('a node that slept through some changes is sent only the newest, and through many the whole', () => {
  const start = pulled(withOffered(viewOf('core'), recordAt(1)), viewOf('router'));
  const offered = (view: SpreadView, last: number): SpreadView => {
    let reached = view;
    for (let revision = 2; revision <= last; revision += 1) reached = withOffered(reached, recordAt(revision));
    return reached;
  };
  const few = pulled(offered(start.sender, 6), start.receiver);
  assert.equal(
    configurationFramesOf(few.frames).map(({ type }) => type),
    ['setup-delta'],
  );
  assert.is(few.receiver.record?.revision, 6);
  const many = pulled(offered(start.sender, 30), start.receiver);
  assert.equal(
    configurationFramesOf(many.frames).map(({ type }) => type),
    ['setup'],
  );
  assert.is(many.receiver.record?.revision, 30);
});

test('a node with another configuration under the same revision is sent the whole', () => {
  const { sender } = pulled(withOffered(viewOf('core'), recordAt(1)), viewOf('router'));
  const other = { ...recordAt(1), takenAtUs: 5 };
  const pull = pulled(withOffered(sender, recordAt(2)), withOffered(viewOf('router'), other));
  assert.equal(
    configurationFramesOf(pull.frames).map(({ type }) => type),
    ['setup'],
  );
  assert.equal(pull.receiver.record?.original, recordAt(2).original);
});

test('a delta that does not come to its digest is not taken, and the whole is asked for', () => {
  const receiver = withOffered(viewOf('router'), recordAt(1));
  const delta = { ...recordDeltaOf(recordAt(1), recordAt(2)), takenAtUs: 1 };
  const answer = answersOf(receiver, 'core:1', { type: 'setup-delta', delta });
  assert.is(answer.view.record?.revision, 1);
  const inquiries = answer.frames.filter((frame) => frame.type === 'inquire');
  assert.is(inquiries.length, 1);
  assert.is(inquiries[0]?.type === 'inquire' ? inquiries[0].base : 'none', undefined);
});

test('a delta on an earlier configuration is taken when another answer came first', () => {
  const receiver = withOffered(withOffered(viewOf('router'), recordAt(1)), recordAt(2));
  const answer = answersOf(receiver, 'core:1', {
    type: 'setup-delta',
    delta: recordDeltaOf(recordAt(1), recordAt(3)),
  });
  assert.is(answer.view.record?.revision, 3);
});

test('routes that a change does not touch stay the very same objects', () => {
  const base = recordAt(1);
  const next = withRecordDelta(base, recordDeltaOf(base, recordAt(2)));
  const kept = next?.setup.rules.filter((rule, place) => rule === base.setup.rules[place]).length;
  assert.is(kept, base.setup.rules.length - 1);
  assert.is(next?.setup.services, base.setup.services);
  assert.is(next?.epochs, base.epochs);
});

test('deltas of another form are turned away, and counts beyond the base do no harm', () => {
  const delta = recordDeltaOf(recordAt(1), recordAt(2));
  assert.ok(isRecordDelta(delta));
  assert.not.ok(isRecordDelta({ ...delta, rules: [{ type: 'keep', from: -1, count: 2 }] }));
  assert.not.ok(isRecordDelta({ ...delta, rules: [{ type: 'insert', items: [{ kind: 'x' }] }] }));
  assert.not.ok(isRecordDelta({ ...delta, digest: undefined }));
  assert.is(withRecordDelta(recordAt(1), { ...delta, rules: [{ type: 'keep', from: 0, count: 9_999 }] }), undefined);
});

test.run();
