import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Command } from '../../src/control/log/command.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { startReplicatedState, type ReplicatedState } from '../../src/control/state/replicated-state.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';

const applied = (state: ReplicatedState, commands: readonly Command[]): ReplicatedState =>
  commands.reduce((former, command) => applyCommand(former, command).state, state);

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

test('a claim that arrives twice is won twice by the same request, and by no other', () => {
  const state = applied(startReplicatedState, [claim('a')]);
  assert.equal(applyCommand(state, claim('a')).outcome, { type: 'claimed', won: true, holder: 'a' });
  assert.equal(applyCommand(state, claim('b')).outcome, { type: 'claimed', won: false, holder: 'a' });
});

test('a late release of an earlier holder does not free the claim of the next one', () => {
  const state = applied(startReplicatedState, [claim('a'), release('a'), claim('b'), release('a'), release('a')]);
  assert.ok(holds(state, 'b'));
});

test('a late claim of a request that released its key takes it from no other request', () => {
  const state = applied(startReplicatedState, [claim('a'), release('a'), claim('b'), claim('a')]);
  assert.ok(holds(state, 'b'));
});

test('a late claim after the release holds the key again: later callers are told that it may have run, and none runs it', () => {
  const state = applied(startReplicatedState, [claim('a'), release('a'), claim('a')]);
  assert.equal(applyCommand(state, claim('b')).outcome, { type: 'claimed', won: false, holder: 'a' });
});

test('a restore that arrives twice, or after a newer one, changes nothing', () => {
  const once = applied(startReplicatedState, [{ type: 'restore', record: recordAt(7, 5) }]);
  const more: readonly Command[] = [
    { type: 'restore', record: recordAt(7, 5) },
    { type: 'restore', record: recordAt(6, 9) },
  ];
  assert.equal(applied(once, more), once);
});

test('a change that is cancelled stays cancelled when its order arrives late, and a late cancel undoes no order', () => {
  const order: Command = { type: 'setup', proposal: 'p', expected: 0, setup: sampleSetup('late'), atUs: 0 };
  const cancel: Command = { type: 'void', proposal: 'p' };
  const cancelled = applied(startReplicatedState, [cancel, order, cancel, order]);
  assert.is(cancelled.record, undefined);
  const taken = applied(startReplicatedState, [order, cancel, order, cancel]);
  assert.is(taken.record?.revision, 1);
  assert.equal(applyCommand(taken, cancel).outcome, {
    type: 'proposal',
    outcome: { type: 'committed', revision: 1 },
  });
});

/** What reaches the log: the first copy of a command, or a late one of a command that reached it before. */
type Step = { readonly request: number; readonly isRelease: boolean };

test('whatever arrives late or twice, at most one request runs under a key', () => {
  const step: fc.Arbitrary<Step> = fc.record({ request: fc.nat({ max: 3 }), isRelease: fc.boolean() });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      let state = startReplicatedState;
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
