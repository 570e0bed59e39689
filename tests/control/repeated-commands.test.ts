import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Command } from '../../src/control/log/command.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { emptyReplicatedState, type ReplicatedState } from '../../src/control/state/replicated-state.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';

const applyAll = (state: ReplicatedState, commands: readonly Command[]): ReplicatedState =>
  commands.reduce((previous, command) => applyCommand(previous, command).state, state);

const claim = (exchange: string, atUs = 0): Command => ({ type: 'claim', key: 'k', exchange, atUs });
const release = (exchange: string, atUs = 0): Command => ({ type: 'release', key: 'k', exchange, atUs });

const holds = (state: ReplicatedState, exchange: string): boolean => {
  const { outcome } = applyCommand(state, claim('probe'));
  return outcome.type === 'claimed' && outcome.holder === exchange;
};

const recordAt = (revision: number, takenAtUs: number): SetupRecord => ({
  revision,
  takenAtUs,
  setup: sampleSetup(`setup-${revision}`),
  epochs: [],
});

test('a duplicated claim is won again by the same exchange, and by no other', () => {
  const state = applyAll(emptyReplicatedState, [claim('a')]);
  assert.equal(applyCommand(state, claim('a')).outcome, { type: 'claimed', won: true, holder: 'a' });
  assert.equal(applyCommand(state, claim('b')).outcome, { type: 'claimed', won: false, holder: 'a' });
});

test('a delayed release of an earlier holder does not release the claim of the next one', () => {
  const state = applyAll(emptyReplicatedState, [claim('a'), release('a'), claim('b'), release('a'), release('a')]);
  assert.ok(holds(state, 'b'));
});

test('a delayed claim of an exchange that has released the key does not take it from another exchange', () => {
  const state = applyAll(emptyReplicatedState, [claim('a'), release('a'), claim('b'), claim('a')]);
  assert.ok(holds(state, 'b'));
});

test('a delayed claim after the release holds the key again, so that no later exchange wins it', () => {
  const state = applyAll(emptyReplicatedState, [claim('a'), release('a'), claim('a')]);
  assert.equal(applyCommand(state, claim('b')).outcome, { type: 'claimed', won: false, holder: 'a' });
});

test('a duplicated restore, or one older than the current setup, changes nothing', () => {
  const restored = applyAll(emptyReplicatedState, [{ type: 'restore', record: recordAt(7, 5) }]);
  const repeats: readonly Command[] = [
    { type: 'restore', record: recordAt(7, 5) },
    { type: 'restore', record: recordAt(6, 9) },
  ];
  assert.equal(applyAll(restored, repeats), restored);
});

test('a cancelled proposal stays cancelled if its setup command arrives later, and a later cancel undoes no commit', () => {
  const proposal: Command = { type: 'setup', proposal: 'p', expected: 0, setup: sampleSetup('late'), atUs: 0 };
  const cancel: Command = { type: 'void', proposal: 'p' };
  const cancelled = applyAll(emptyReplicatedState, [cancel, proposal, cancel, proposal]);
  assert.is(cancelled.record, undefined);
  const committed = applyAll(emptyReplicatedState, [proposal, cancel, proposal, cancel]);
  assert.is(committed.record?.revision, 1);
  assert.equal(applyCommand(committed, cancel).outcome, {
    type: 'proposal',
    outcome: { type: 'committed', revision: 1 },
  });
});

/** A command that reaches the log: its first copy, or a delayed duplicate of an earlier command. */
type Step = { readonly request: number; readonly isRelease: boolean };

test('with delayed and duplicated commands, at most one exchange runs under a key', () => {
  const step: fc.Arbitrary<Step> = fc.record({ request: fc.nat({ max: 3 }), isRelease: fc.boolean() });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let state = emptyReplicatedState;
      const running = new Set<number>();
      const ended = new Set<number>();
      for (const { request, isRelease } of steps) {
        const hasWon = running.has(request) || ended.has(request);
        if (isRelease && !hasWon) continue;
        const { state: next, outcome } = applyCommand(state, isRelease ? release(`r${request}`) : claim(`r${request}`));
        state = next;
        if (isRelease) {
          running.delete(request);
          ended.add(request);
        } else if (outcome.type === 'claimed' && outcome.won && !ended.has(request)) running.add(request);
        assert.ok(running.size <= 1, `${[...running].join()} run at once`);
        for (const holder of running) assert.ok(holds(state, `r${holder}`), `r${holder} lost its claim while it runs`);
      }
    }),
    { numRuns: 500, seed: 17 },
  );
});

test.run();
