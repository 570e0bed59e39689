import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Command } from '../../src/control/log/command.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { emptyReplicatedState, type ReplicatedState } from '../../src/control/state/replicated-state.js';
import { stateDigestOf } from '../../src/control/state/state-digest.js';
import { decodeSnapshot, encodeSnapshot } from '../../src/control/wire/snapshot-codec.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const after = (commands: readonly Command[]): ReplicatedState =>
  commands.reduce((state, command) => applyCommand(state, command).state, emptyReplicatedState);

const claim: Command = { type: 'claim', key: 'k', exchange: 'e', atUs: 1 };
const release: Command = { type: 'release', key: 'k', exchange: 'e', atUs: 2 };
const proposal: Command = { type: 'setup', proposal: 'p', expected: 0, setup: sampleSetup('s'), atUs: 3 };

test('a state and its copy decoded from a snapshot have the same digest, also after a released claim', () => {
  const state = after([claim, release, proposal]);
  const restored = decodeSnapshot(encodeSnapshot({ index: 3, term: 1, members: [], state })).state;
  assert.is(stateDigestOf(restored), stateDigestOf(state));
});

test('states that differ in a claim or a setup have different digests', () => {
  const digests = [after([]), after([claim]), after([proposal]), after([claim, proposal])].map(stateDigestOf);
  assert.is(new Set(digests).size, digests.length);
});

test.run();
