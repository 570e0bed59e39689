import { createHash } from 'node:crypto';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Command } from '../../src/control/log/command.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { emptyReplicatedState, type ReplicatedState } from '../../src/control/state/replicated-state.js';
import { decodeDurableRecords, encodeDurableRecords } from '../../src/control/wire/durable-record-codec.js';
import { maxOutcomeHistoryBytes } from '../../src/control/wire/outcome-history-codec.js';
import { maxRememberedDocuments } from '../../src/control/state/document-history.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const setup = sampleSetup('first');
const second = 1_000_000;

type Proposal = { readonly version: number; readonly expected: number; readonly text?: string; readonly atUs?: number };

const commandOf = ({ version, expected, text = `document ${version}`, atUs = 1 }: Proposal): Command => ({
  type: 'setup',
  proposal: `original-${version}-${createHash('sha256').update(text).digest('hex').slice(0, 32)}`,
  expected,
  setup,
  original: { version, text },
  atUs,
});

const outcomeOf = (state: ReplicatedState, command: Command): string => {
  const { outcome } = applyCommand(state, command);
  return outcome.type === 'proposal' ? outcome.outcome.type : outcome.type;
};

const outcomeOfProposal = (state: ReplicatedState, proposal: Proposal): string => outcomeOf(state, commandOf(proposal));

const afterProposals = (
  proposals: readonly Proposal[],
  start: ReplicatedState = emptyReplicatedState,
): ReplicatedState => proposals.reduce((state, proposal) => applyCommand(state, commandOf(proposal)).state, start);

/** The state after versions 1 to `count`, each of which replaces the one before. */
const afterChanges = (count: number): ReplicatedState =>
  afterProposals(Array.from({ length: count }, (_, index) => ({ version: index + 1, expected: index })));

const afterSnapshot = (state: ReplicatedState): ReplicatedState => {
  const snapshot = { index: 1, term: 1, members: [], state };
  const [record] = decodeDurableRecords(encodeDurableRecords([{ type: 'snapshot', snapshot }])).unsafeCoerce();
  return record?.type === 'snapshot' ? record.snapshot.state : emptyReplicatedState;
};

test('a document repeated thousands of commits later is acknowledged, also after a snapshot and with a stale expected version', () => {
  const state = afterChanges(3_000);
  for (const recovered of [state, afterSnapshot(state)]) {
    for (const version of [1, 2, 1_500, 2_999, 3_000])
      for (const expected of [version - 1, 0, 77_777])
        assert.is(outcomeOfProposal(recovered, { version, expected }), 'committed', `${version} on ${expected}`);
    assert.is(applyCommand(recovered, commandOf({ version: 1, expected: 0 })).state.record?.revision, 3_000);
  }
});

test('a committed version is never acknowledged with another text, thousands of commits later either', () => {
  const state = afterSnapshot(afterChanges(3_000));
  for (const version of [1, 1_500, 3_000])
    for (const text of ['document', `document ${version} `, `document ${version}\n`, ''])
      for (const expected of [version - 1, 3_000])
        assert.is(
          outcomeOfProposal(state, { version, expected, text }),
          'conflict',
          `${version} on ${expected}: ${text}`,
        );
});

test('of two texts with one version exactly one is committed, whatever their order and expected version', () => {
  for (const [first, other] of [
    ['one', 'other'],
    ['other', 'one'],
  ] as const) {
    const state = afterProposals([{ version: 7, expected: 0, text: first }]);
    for (const expected of [0, 7]) {
      assert.is(outcomeOfProposal(state, { version: 7, expected, text: other }), 'conflict');
      assert.is(outcomeOfProposal(state, { version: 7, expected, text: first }), 'committed');
    }
  }
});

test('a document remains a conflict until it is proposed with the right expected version', () => {
  const state = afterSnapshot(
    afterProposals([
      { version: 3, expected: 0 },
      { version: 5, expected: 0 },
      { version: 4, expected: 3 },
    ]),
  );
  assert.is(outcomeOfProposal(state, { version: 5, expected: 0 }), 'conflict');
  assert.is(outcomeOfProposal(state, { version: 5, expected: 3 }), 'conflict');
  assert.is(outcomeOfProposal(state, { version: 5, expected: 4 }), 'committed');
});

test('a proposal refused before its expected version was committed is not committed by a later copy in the log', () => {
  const early = { version: 9, expected: 7 };
  const refused = afterProposals([{ version: 3, expected: 0 }, early]);
  const state = afterSnapshot(afterProposals([{ version: 7, expected: 3 }], refused));
  assert.is(outcomeOfProposal(state, early), 'conflict');
  assert.is(outcomeOfProposal(state, { version: 10, expected: 7 }), 'committed');
  assert.is(outcomeOfProposal(state, { ...early, atUs: 11 * second }), 'committed', 'a new request much later');
});

test('a document evicted from the history is forgotten, and a remembered version is still a conflict', () => {
  const state = afterSnapshot(afterChanges(maxRememberedDocuments + 10));
  for (const version of [1, 10]) {
    assert.is(outcomeOfProposal(state, { version, expected: version - 1 }), 'forgotten');
    assert.is(outcomeOfProposal(state, { version, expected: version - 1, text: 'other' }), 'forgotten');
  }
  assert.is(outcomeOfProposal(state, { version: 11, expected: 0 }), 'committed');
  assert.is(outcomeOfProposal(state, { version: 11, expected: 0, text: 'other' }), 'conflict');
  const bytes = encodeDurableRecords([{ type: 'snapshot', snapshot: { index: 1, term: 1, members: [], state } }]);
  assert.ok(bytes.length < maxOutcomeHistoryBytes, `${bytes.length} bytes`);
  assert.ok(bytes.length < maxRememberedDocuments * 60, `${bytes.length} bytes`);
});

test('proposals without a document are known thousands of commits later, then forgotten without a false conflict', () => {
  const proposalAt = (index: number, proposal = `p${index}`): Command => ({
    type: 'setup',
    proposal,
    expected: index,
    setup,
    atUs: 1,
  });
  const after = (count: number): ReplicatedState =>
    Array.from({ length: count }, (_, index) => proposalAt(index)).reduce(
      (state, command) => applyCommand(state, command).state,
      emptyReplicatedState,
    );
  assert.is(outcomeOf(afterSnapshot(after(2_000)), proposalAt(0)), 'committed');
  const evicting = afterSnapshot(after(5_000));
  assert.is(outcomeOf(evicting, proposalAt(0)), 'forgotten');
  assert.is(outcomeOf(evicting, proposalAt(4_999)), 'committed');
  assert.is(outcomeOf(evicting, proposalAt(4_998, 'other')), 'conflict');
});

test('a cancelled document is never committed, and a committed one can not be cancelled', () => {
  const cancel = (proposal: Proposal): Command => {
    const command = commandOf(proposal);
    return { type: 'void', proposal: command.type === 'setup' ? command.proposal : '' };
  };
  const proposal = { version: 3, expected: 0 };
  const cancelled = afterSnapshot(applyCommand(emptyReplicatedState, cancel(proposal)).state);
  assert.is(outcomeOfProposal(cancelled, proposal), 'cancelled');
  assert.is(
    outcomeOf(afterSnapshot(afterProposals([proposal, { version: 4, expected: 3 }])), cancel(proposal)),
    'committed',
  );
});

test('after the loss of all disks, documents of the lost core get no false conflict', () => {
  const lost = afterChanges(20);
  const { record } = lost;
  assert.ok(record !== undefined);
  const restored = applyCommand(emptyReplicatedState, { type: 'restore', record }).state;
  assert.is(outcomeOfProposal(restored, { version: 20, expected: 19 }), 'committed');
  assert.is(outcomeOfProposal(restored, { version: 12, expected: 11 }), 'forgotten');
  assert.is(outcomeOfProposal(restored, { version: 20, expected: 19, text: 'other' }), 'conflict');
  assert.is(outcomeOfProposal(restored, { version: 21, expected: 19 }), 'conflict');
  assert.is(outcomeOfProposal(restored, { version: 21, expected: 20 }), 'committed');
});

test.run();
