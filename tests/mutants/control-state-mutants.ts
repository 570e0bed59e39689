import { seeds, test } from './finders.js';
import type { Mutant } from './mutant.js';

/** Deliberate faults in the replicated state and what is kept of it. */
export const controlStateMutants: readonly Mutant[] = [
  {
    name: 'the release of a refused claim can not be read back',
    file: 'src/control/wire/command-guard.ts',
    find: 'exchange: string().defined()',
    put: 'exchange: string().required()',
    by: seeds('core', 'can not read its disk', 20),
  },
  {
    name: 'the image of a turned file leaves the votes out',
    file: 'src/control/persistence/recovery.ts',
    find: "    { type: 'vote', term: replica.term, votedFor: replica.votedFor },\n",
    put: '',
    by: test('tests/control/recovery.test.js'),
  },
  {
    name: 'a repeat of a former order is refused',
    file: 'src/control/state/setup-proposals.ts',
    find: '  if (committed !== undefined)\n    return proposalResult(',
    put: '  if (committed !== undefined && committed.revision === revision)\n    return proposalResult(',
    by: seeds('core-repeats', 'linearizable', 2),
  },
  {
    name: 'every claim is won',
    file: 'src/control/state/claims.ts',
    find: 'won: existingClaim.exchange === command.exchange,',
    put: 'won: true,',
    by: seeds('core', 'was won by', 3),
  },
  {
    name: 'If-Match ignored',
    file: 'src/control/state/setup-proposals.ts',
    find: 'if (command.expected !== revision)',
    put: 'if (command.expected < 0)',
    by: seeds('core', 'though it was for', 3),
  },
  {
    name: 'a withdrawn proposal is taken all the same',
    file: 'src/control/state/setup-proposals.ts',
    find: '  const knownOutcome = findProposalOutcome(state, command.proposal);\n  if (knownOutcome !== undefined) return proposalResult(state, knownOutcome);\n',
    put: '',
    by: test('tests/control/operator.test.js'),
  },
  {
    name: 'a number that was committed is acknowledged with another text',
    file: 'src/control/state/setup-proposals.ts',
    find: 'committed.digest === order.digest',
    put: 'committed.digest.length > 0',
    by: test('tests/control/repeated-orders.test.js'),
  },
  {
    name: 'a second copy of a refused order is committed',
    file: 'src/control/state/refused-proposals.ts',
    find: 'refusedAtUs !== undefined && clockUs < refusedAtUs + refusalRetentionUs',
    put: 'refusedAtUs !== undefined && clockUs < refusedAtUs',
    by: test('tests/control/repeated-orders.test.js'),
  },
  {
    name: 'a forgotten document is called a conflict',
    file: 'src/control/state/setup-proposals.ts',
    find: 'if (order.version <= state.documents.forgottenVersion)',
    put: 'if (order.version < 0)',
    by: test('tests/control/repeated-orders.test.js'),
  },
  {
    name: "nodes' older setup replaces what a new core has taken",
    file: 'src/control/state/restore.ts',
    find: 'own === undefined ? record : { ...own, revision: record.revision + 1 }',
    put: 'record',
    by: test('tests/sim/lost-core.test.js'),
  },
  {
    name: 'the figures of a booking under way are forgotten',
    file: 'src/control/state/warmup-epochs.ts',
    find: 'const maxEpochs = 256;',
    put: 'const maxEpochs = 8;',
    by: test('tests/decision/bookings.test.js'),
  },
  {
    name: 'records that the snapshot holds are put behind it',
    file: 'src/control/persistence/recovery.ts',
    find: 'entries.filter((entry) => entry.index > replica.snapshot.index)',
    put: 'entries.filter((entry) => entry.index > 0)',
    by: test('tests/control/recovery.test.js'),
  },
];
