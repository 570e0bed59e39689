import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { calculateObjectSize, deserialize, serialize } from 'bson';
import type { Rule } from '../../src/setup/document/rule.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { isRecordDelta } from '../../src/setup/check/setup-guard.js';
import { recordDeltaOf, applyRecordDelta } from '../../src/setup/delta/record-delta.js';
import { recordDigestOf } from '../../src/setup/delta/record-digest.js';
import { isFrame } from '../../src/spread/frame/frame-guard.js';
import type { GossipFrame } from '../../src/spread/machine/gossip-event.js';
import { initialGossipView, type GossipView } from '../../src/spread/machine/gossip-view.js';
import { stepGossip } from '../../src/spread/machine/step.js';
import { setup, warmup } from '../decision/fixtures.js';

const routeCount = 400;
const changeCount = 40;
/** The bytes that one change may cost per node, including the inquiry. */
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

/** The operator's text for some rules, with its version first, as in real documents. */
const textOf = (version: number, rules: readonly Rule[]): string =>
  JSON.stringify({
    ver: version,
    routes: rules.map(({ kind, service, budgetUs }) => ({ name: kind, host: 'a.example', svc: service, ms: budgetUs })),
  });

/** Each revision adds one route and changes the budget of another one. */
const recordAt = (revision: number): SetupRecord => {
  const rules = [
    ...setup.rules,
    ...Array.from({ length: routeCount + revision }, (_, index) =>
      ruleOf(`route-${index}`, index === 7 ? 1_000_000 + revision : 1_000_000),
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

const clone = (record: SetupRecord): SetupRecord => structuredClone(record);

const viewOf = (node: string): GossipView =>
  initialGossipView({ node, role: 'router', address: `${node}:1`, http: `${node}:2`, locality: 'a' }, []);

/** The frames that a node sends in response to one frame, after serialization and deserialization. */
const responseTo = (
  view: GossipView,
  from: string,
  frame: GossipFrame,
): { readonly view: GossipView; readonly frames: readonly GossipFrame[] } => {
  const step = stepGossip(view, { type: 'frame', at: view.atUs + 1, from, frame });
  const frames = step.effects.flatMap((effect) => {
    if (effect.type !== 'send' || effect.address !== from) return [];
    const received: unknown = deserialize(serialize(effect.frame));
    if (!isFrame(received)) throw new Error('a frame of the node does not pass the frame guard');
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

type Pull = { readonly sender: GossipView; readonly receiver: GossipView; readonly frames: readonly GossipFrame[] };

const configurationFramesOf = (frames: readonly GossipFrame[]): readonly GossipFrame[] =>
  frames.filter(({ type }) => type === 'setup' || type === 'setup-delta');

/** Lets one node pull the configuration of another, until it sends no more inquiries. */
const pullConfiguration = (initialSender: GossipView, initialReceiver: GossipView): Pull => {
  let sender = initialSender;
  let receiver = initialReceiver;
  const exchanged: GossipFrame[] = [];
  const refreshed = stepGossip(receiver, { type: 'refresh', at: receiver.atUs + 1 });
  receiver = refreshed.view;
  let inquiries: readonly GossipFrame[] = [
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
    const responses = inquiries.map((inquiry) => {
      exchanged.push(inquiry);
      const response = responseTo(sender, receiver.self.address, inquiry);
      sender = response.view;
      return response.frames;
    });
    inquiries = configurationFramesOf(responses.flat()).flatMap((frame) => {
      exchanged.push(frame);
      const response = responseTo(receiver, sender.self.address, frame);
      receiver = response.view;
      return response.frames.filter(({ type }) => type === 'inquire');
    });
  }
  return { sender, receiver, frames: exchanged };
};

const offer = (view: GossipView, record: SetupRecord): GossipView =>
  stepGossip(view, { type: 'setup', at: view.atUs + 150_000, record }).view;

const bytesOf = (frames: readonly GossipFrame[]): number =>
  frames.reduce((sum, frame) => sum + calculateObjectSize(frame), 0);

test('changing one of four hundred routes sends each node a delta instead of the whole configuration', () => {
  let { sender, receiver } = pullConfiguration(offer(viewOf('core'), recordAt(1)), viewOf('router'));
  for (let revision = 2; revision <= changeCount; revision += 1) {
    const pull = pullConfiguration(offer(sender, clone(recordAt(revision))), receiver);
    ({ sender, receiver } = pull);
    assert.is(receiver.record?.revision, revision);
    assert.ok(bytesOf(pull.frames) <= maxBytesPerChange, `${bytesOf(pull.frames)} bytes for revision ${revision}`);
  }
  assert.equal(receiver.record?.original, recordAt(changeCount).original, "the operator's text is complete");
  assert.is(
    receiver.record === undefined ? '' : recordDigestOf(receiver.record),
    recordDigestOf(recordAt(changeCount)),
  );
});

test('a node that missed a few revisions receives one delta to the newest; after many it receives the whole configuration', () => {
  const start = pullConfiguration(offer(viewOf('core'), recordAt(1)), viewOf('router'));
  const offerUpTo = (view: GossipView, last: number): GossipView => {
    let next = view;
    for (let revision = 2; revision <= last; revision += 1) next = offer(next, recordAt(revision));
    return next;
  };
  const few = pullConfiguration(offerUpTo(start.sender, 6), start.receiver);
  assert.equal(
    configurationFramesOf(few.frames).map(({ type }) => type),
    ['setup-delta'],
  );
  assert.is(few.receiver.record?.revision, 6);
  const many = pullConfiguration(offerUpTo(start.sender, 30), start.receiver);
  assert.equal(
    configurationFramesOf(many.frames).map(({ type }) => type),
    ['setup'],
  );
  assert.is(many.receiver.record?.revision, 30);
});

test('a node with another configuration under the same revision receives the whole one', () => {
  const { sender } = pullConfiguration(offer(viewOf('core'), recordAt(1)), viewOf('router'));
  const other = { ...recordAt(1), takenAtUs: 5 };
  const pull = pullConfiguration(offer(sender, recordAt(2)), offer(viewOf('router'), other));
  assert.equal(
    configurationFramesOf(pull.frames).map(({ type }) => type),
    ['setup'],
  );
  assert.equal(pull.receiver.record?.original, recordAt(2).original);
});

test('a delta whose result does not match its digest is rejected, and the whole configuration is requested', () => {
  const receiver = offer(viewOf('router'), recordAt(1));
  const delta = { ...recordDeltaOf(recordAt(1), recordAt(2)), takenAtUs: 1 };
  const response = responseTo(receiver, 'core:1', { type: 'setup-delta', delta });
  assert.is(response.view.record?.revision, 1);
  const inquiries = response.frames.filter((frame) => frame.type === 'inquire');
  assert.is(inquiries.length, 1);
  assert.is(inquiries[0]?.type === 'inquire' ? inquiries[0].base : 'none', undefined);
});

test('a delta on an earlier configuration is applied after another response has arrived first', () => {
  const receiver = offer(offer(viewOf('router'), recordAt(1)), recordAt(2));
  const response = responseTo(receiver, 'core:1', {
    type: 'setup-delta',
    delta: recordDeltaOf(recordAt(1), recordAt(3)),
  });
  assert.is(response.view.record?.revision, 3);
});

test('routes, services and epochs that a delta does not change keep their object identity', () => {
  const base = recordAt(1);
  const next = applyRecordDelta(base, recordDeltaOf(base, recordAt(2)));
  const unchanged = next?.setup.rules.filter((rule, index) => rule === base.setup.rules[index]).length;
  assert.is(unchanged, base.setup.rules.length - 1);
  assert.is(next?.setup.services, base.setup.services);
  assert.is(next?.epochs, base.epochs);
});

test('malformed deltas are rejected, and a range beyond the end of the base gives no record', () => {
  const delta = recordDeltaOf(recordAt(1), recordAt(2));
  assert.ok(isRecordDelta(delta));
  assert.not.ok(isRecordDelta({ ...delta, rules: [{ type: 'keep', from: -1, count: 2 }] }));
  assert.not.ok(isRecordDelta({ ...delta, rules: [{ type: 'insert', items: [{ kind: 'x' }] }] }));
  assert.not.ok(isRecordDelta({ ...delta, digest: undefined }));
  assert.is(applyRecordDelta(recordAt(1), { ...delta, rules: [{ type: 'keep', from: 0, count: 9_999 }] }), undefined);
});

test.run();
