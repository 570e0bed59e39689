import type { Original } from '../../setup/document/original.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Command } from '../log/command.js';
import { appliedProposal, type Applied } from './applied.js';
import { digestOfText, findDocumentOfProposal, rememberDocument } from './document-history.js';
import { rememberProposal } from './proposal-history.js';
import type { ProposalOutcome } from './proposal-outcome.js';
import { isRefused, rememberRefusal, type DocumentOrder } from './refused-orders.js';
import type { ReplicatedState } from './replicated-state.js';
import { epochsAfter } from './warmup-epochs.js';

type SetupCommand = Extract<Command, { readonly type: 'setup' }>;

const currentRevisionOf = (state: ReplicatedState): number => state.record?.revision ?? 0;

/** What is known of a proposal by its id, of either kind. */
export const findProposalOutcome = (state: ReplicatedState, proposal: string): ProposalOutcome | undefined => {
  const document = findDocumentOfProposal(state.documents, proposal);
  return document === undefined
    ? state.proposals.outcomes.entries.get(proposal)
    : { type: 'committed', revision: document.revision };
};

const withRememberedProposal = (state: ReplicatedState, proposal: string, outcome: ProposalOutcome): Applied =>
  appliedProposal({ ...state, proposals: rememberProposal(state.proposals, proposal, outcome) }, outcome);

const nextRecord = (state: ReplicatedState, command: SetupCommand): SetupRecord => ({
  revision: currentRevisionOf(state) + 1,
  takenAtUs: state.clockUs,
  setup: command.setup,
  ...(command.original === undefined ? {} : { original: command.original }),
  epochs: epochsAfter(state.record, { sinceUs: state.clockUs, warmup: command.setup.warmup }),
});

/** The race of proposals by the revision they build on; a decided proposal keeps its outcome. */
const applyRevisionOrder = (state: ReplicatedState, command: SetupCommand): Applied => {
  const knownOutcome = findProposalOutcome(state, command.proposal);
  if (knownOutcome !== undefined) return appliedProposal(state, knownOutcome);
  const revision = currentRevisionOf(state);
  const mayBeForgotten = command.expected < Math.min(revision, state.proposals.forgottenRevision);
  if (mayBeForgotten) return appliedProposal(state, { type: 'forgotten', revision });
  if (command.expected !== revision)
    return withRememberedProposal(state, command.proposal, { type: 'conflict', revision });
  const record = nextRecord(state, command);
  return withRememberedProposal({ ...state, record }, command.proposal, {
    type: 'committed',
    revision: record.revision,
  });
};

const commitDocument = (state: ReplicatedState, command: SetupCommand, { version, digest }: DocumentOrder): Applied => {
  const record = nextRecord(state, command);
  const { revision } = record;
  const documents = rememberDocument(state.documents, version, { digest, revision });
  return appliedProposal({ ...state, record, documents }, { type: 'committed', revision });
};

/**
 * The race of operators' own documents, by their own versions. A committed document is acknowledged whenever it is sent
 * again, and its version is never given to another text. A conflict is not remembered, since the same document may be put
 * on top of the right version later; only where its base was not current yet does the refusal stay final for a while.
 */
const applyDocumentOrder = (state: ReplicatedState, command: SetupCommand, original: Original): Applied => {
  const revision = currentRevisionOf(state);
  const order = { version: original.version, digest: digestOfText(original.text), expectedVersion: command.expected };
  const committed = state.documents.committed.entries.get(order.version);
  if (committed !== undefined)
    return appliedProposal(
      state,
      committed.digest === order.digest
        ? { type: 'committed', revision: committed.revision }
        : { type: 'conflict', revision },
    );
  const cancelled = state.proposals.outcomes.entries.get(command.proposal);
  if (cancelled !== undefined) return appliedProposal(state, cancelled);
  if (isRefused(state.refusedOrders, order, state.clockUs))
    return appliedProposal(state, { type: 'conflict', revision });
  const currentVersion = state.record?.original?.version ?? 0;
  if (order.expectedVersion === currentVersion && order.version > currentVersion)
    return commitDocument(state, command, order);
  if (order.version <= state.documents.forgottenVersion) return appliedProposal(state, { type: 'forgotten', revision });
  const refusedOrders =
    order.expectedVersion > currentVersion
      ? rememberRefusal(state.refusedOrders, order, state.clockUs)
      : state.refusedOrders;
  return appliedProposal({ ...state, refusedOrders }, { type: 'conflict', revision });
};

/** Decides a proposed configuration. */
export const applySetup = (state: ReplicatedState, command: SetupCommand): Applied =>
  command.original === undefined
    ? applyRevisionOrder(state, command)
    : applyDocumentOrder(state, command, command.original);

/** Cancels a proposal unless it is decided; it can never be committed afterwards. */
export const applyCancel = (state: ReplicatedState, proposal: string): Applied => {
  const knownOutcome = findProposalOutcome(state, proposal);
  return knownOutcome === undefined
    ? withRememberedProposal(state, proposal, { type: 'cancelled', revision: currentRevisionOf(state) })
    : appliedProposal(state, knownOutcome);
};
