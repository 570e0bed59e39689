import type { Original } from '../../setup/document/original.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Command } from '../log/command.js';
import { proposalResult, type ApplyResult } from './apply-result.js';
import { digestOfText, findDocumentOfProposal, rememberDocument } from './document-history.js';
import { rememberProposal } from './proposal-history.js';
import type { ProposalOutcome } from './proposal-outcome.js';
import { isRefused, rememberRefusal, type DocumentProposal } from './refused-proposals.js';
import type { ReplicatedState } from './replicated-state.js';
import { warmupEpochsAfter } from './warmup-epochs.js';

type SetupCommand = Extract<Command, { readonly type: 'setup' }>;

const currentRevisionOf = (state: ReplicatedState): number => state.record?.revision ?? 0;

/**
 * The outcome of a proposal by its id, with an operator's document or without; undefined if it is not decided or no
 * longer remembered.
 */
export const findProposalOutcome = (state: ReplicatedState, proposal: string): ProposalOutcome | undefined => {
  const document = findDocumentOfProposal(state.documents, proposal);
  return document === undefined
    ? state.proposals.outcomes.entries.get(proposal)
    : { type: 'committed', revision: document.revision };
};

const decideProposal = (state: ReplicatedState, proposal: string, outcome: ProposalOutcome): ApplyResult =>
  proposalResult({ ...state, proposals: rememberProposal(state.proposals, proposal, outcome) }, outcome);

const nextRecord = (state: ReplicatedState, command: SetupCommand): SetupRecord => ({
  revision: currentRevisionOf(state) + 1,
  takenAtUs: state.clockUs,
  setup: command.setup,
  ...(command.original === undefined ? {} : { original: command.original }),
  epochs: warmupEpochsAfter(state.record, { sinceUs: state.clockUs, warmup: command.setup.warmup }),
});

/**
 * Decides a proposal without a document by optimistic concurrency: it is committed only if its expected revision is the
 * current one. A repeated proposal gets its first outcome again.
 */
const applyRevisionProposal = (state: ReplicatedState, command: SetupCommand): ApplyResult => {
  const knownOutcome = findProposalOutcome(state, command.proposal);
  if (knownOutcome !== undefined) return proposalResult(state, knownOutcome);
  const revision = currentRevisionOf(state);
  const isPossiblyForgotten = command.expected < Math.min(revision, state.proposals.forgottenRevision);
  if (isPossiblyForgotten) return proposalResult(state, { type: 'forgotten', revision });
  if (command.expected !== revision) return decideProposal(state, command.proposal, { type: 'conflict', revision });
  const record = nextRecord(state, command);
  return decideProposal({ ...state, record }, command.proposal, {
    type: 'committed',
    revision: record.revision,
  });
};

const commitDocument = (
  state: ReplicatedState,
  command: SetupCommand,
  { version, digest }: DocumentProposal,
): ApplyResult => {
  const record = nextRecord(state, command);
  const { revision } = record;
  const documents = rememberDocument(state.documents, version, { digest, revision });
  return proposalResult({ ...state, record, documents }, { type: 'committed', revision });
};

/**
 * Decides a proposal with an operator's own document by optimistic concurrency on the document's version. A repeated
 * proposal of a committed document is acknowledged again, and its version can't be committed with another text. A
 * conflict is not remembered, since the same document may be proposed on the right version later; only if its expected
 * version was not committed yet, the refusal is final for a while (see `refusalRetentionUs`).
 */
const applyDocumentProposal = (state: ReplicatedState, command: SetupCommand, original: Original): ApplyResult => {
  const revision = currentRevisionOf(state);
  const order = { version: original.version, digest: digestOfText(original.text), expectedVersion: command.expected };
  const committed = state.documents.committed.entries.get(order.version);
  if (committed !== undefined)
    return proposalResult(
      state,
      committed.digest === order.digest
        ? { type: 'committed', revision: committed.revision }
        : { type: 'conflict', revision },
    );
  const cancelled = state.proposals.outcomes.entries.get(command.proposal);
  if (cancelled !== undefined) return proposalResult(state, cancelled);
  if (isRefused(state.refusedOrders, order, state.clockUs))
    return proposalResult(state, { type: 'conflict', revision });
  const currentVersion = state.record?.original?.version ?? 0;
  if (order.expectedVersion === currentVersion && order.version > currentVersion)
    return commitDocument(state, command, order);
  if (order.version <= state.documents.forgottenVersion) return proposalResult(state, { type: 'forgotten', revision });
  const refusedOrders =
    order.expectedVersion > currentVersion
      ? rememberRefusal(state.refusedOrders, order, state.clockUs)
      : state.refusedOrders;
  return proposalResult({ ...state, refusedOrders }, { type: 'conflict', revision });
};

/** Decides the proposal of a setup. */
export const applySetup = (state: ReplicatedState, command: SetupCommand): ApplyResult =>
  command.original === undefined
    ? applyRevisionProposal(state, command)
    : applyDocumentProposal(state, command, command.original);

/** Cancels a proposal unless it is decided already; a cancelled proposal can never be committed. */
export const applyCancel = (state: ReplicatedState, proposal: string): ApplyResult => {
  const knownOutcome = findProposalOutcome(state, proposal);
  return knownOutcome === undefined
    ? decideProposal(state, proposal, { type: 'cancelled', revision: currentRevisionOf(state) })
    : proposalResult(state, knownOutcome);
};
