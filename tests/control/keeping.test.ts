import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { imageRecordsOf, recoveredView } from '../../src/control/keeping/recover.js';
import type { Command } from '../../src/control/log/command.js';
import type { KeptRecord } from '../../src/control/log/kept-record.js';
import { startControlView, type ControlView } from '../../src/control/machine/control-view.js';
import { stepControl } from '../../src/control/machine/step.js';
import { decodeKept, encodeKept } from '../../src/control/wire/kept-codec.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const largeSetup = (name: string) => {
  const setup = sampleSetup(name);
  const more = setup.rules.flatMap((rule) =>
    Array.from({ length: 200 }, (_, place) => ({ ...rule, kind: `${rule.kind}-${place}` })),
  );
  return { ...setup, rules: [...setup.rules, ...more] };
};

/** A core of one machine that leads; what it asked to keep comes with it. */
const leaderAfter = (
  commands: readonly Command[],
): { readonly view: ControlView; readonly kept: readonly KeptRecord[] } => {
  const kept: KeptRecord[] = [];
  let view = startControlView('c1-x', 'a:1', ['a:1']);
  const take = (event: Parameters<typeof stepControl>[1]): void => {
    const step = stepControl(view, event);
    view = step.view;
    for (const effect of step.effects) if (effect.type === 'keep') kept.push(effect.record);
  };
  take({
    type: 'message',
    at: 1,
    chance: 0,
    from: 'c1-x',
    message: { type: 'hello', identity: 'c1-x', address: 'a:1', founded: false },
  });
  take({
    type: 'message',
    at: 2,
    chance: 0,
    from: 'c1-x',
    message: { type: 'hello', identity: 'c1-x', address: 'a:1', founded: false },
  });
  take({ type: 'tick', at: 2_000_000, chance: 0 });
  commands.forEach((command, place) => take({ type: 'propose', at: 2_000_001 + place, ask: `a${place}`, command }));
  return { view, kept };
};

test('a machine finds its term, vote, log and state again, from records and from an image', () => {
  const commands: readonly Command[] = [
    { type: 'setup', proposal: 'p1', expected: 0, setup: sampleSetup('one'), atUs: 10 },
    { type: 'claim', key: 'record/k1', exchange: 'e1', atUs: 20 },
    { type: 'setup', proposal: 'p2', expected: 0, setup: sampleSetup('two'), atUs: 30 },
  ];
  const { view, kept } = leaderAfter(commands);
  assert.is(view.role, 'leader');
  assert.is(view.state.record?.setup.name, 'one');
  const start = startControlView('none', 'a:1', ['a:1']);
  const again = (records: readonly KeptRecord[]): ControlView =>
    recoveredView(start, decodeKept(encodeKept(records)).unsafeCoerce());
  const fromRecords = again(kept);
  assert.equal([fromRecords.term, fromRecords.votedFor, fromRecords.entries], [view.term, view.votedFor, view.entries]);
  const fromImage = again(imageRecordsOf(view));
  assert.equal(
    [fromImage.identity, fromImage.term, fromImage.votedFor, fromImage.commit],
    ['c1-x', view.term, view.votedFor, view.commit],
  );
  assert.equal(fromImage.state, view.state);
});

test('an image holds the newest setup only, however many large ones were taken before it', () => {
  const commands = Array.from({ length: 30 }, (_, place): Command => ({
    type: 'setup',
    proposal: `p${place}`,
    expected: place,
    setup: largeSetup(`large-${place}`),
    atUs: place,
  }));
  const { view } = leaderAfter(commands);
  assert.is(view.state.record?.revision, 30);
  const oneBytes = encodeKept([{ type: 'entries', entries: view.entries.slice(-1) }]).length;
  const imageBytes = encodeKept(imageRecordsOf(view)).length;
  assert.ok(imageBytes < 2 * oneBytes, `${imageBytes} bytes for an image, ${oneBytes} for one setup`);
});

test('an image with as many claims as there may be fits into a ring file of the default size', () => {
  const claims = Array.from(
    { length: 60_000 },
    (_, place) =>
      [
        `label-copy-rewrite/00000000-0000-4000-8000-${String(place).padStart(12, '0')}`,
        { exchange: `router-9.0123abcd.c${place}`, atUs: 1_700_000_000_000_000 },
      ] as const,
  );
  const { view } = leaderAfter([]);
  const full: ControlView = {
    ...view,
    state: { ...view.state, shelves: new Map([[1, new Map(claims)]]), claimCount: claims.length },
  };
  const image: ControlView = { ...full, image: { ...full.image, state: full.state } };
  const bytes = encodeKept(imageRecordsOf(image));
  assert.ok(bytes.length < 12 << 20, `${bytes.length} bytes`);
  const again = recoveredView(startControlView('none', 'a:1', ['a:1']), decodeKept(bytes).unsafeCoerce());
  assert.equal(again.state.shelves, full.state.shelves);
});

test.run();
