import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Command } from '../log/command.js';
import type { ApplyResult } from './apply-result.js';
import { digestOfText, rememberDocument, type DocumentHistory } from './document-history.js';
import type { ReplicatedState } from './replicated-state.js';

/** Adds the document of a record to the history, if it has one. */
const withDocumentOf = (documents: DocumentHistory, { original, revision }: SetupRecord): DocumentHistory =>
  original === undefined
    ? documents
    : rememberDocument(documents, original.version, { digest: digestOfText(original.text), revision });

/**
 * Restores the setup that nodes of the fleet hold, after a core has lost all its disks. A setup that operators have
 * committed since is newer and stays current, with a revision above the restored one, as the nodes would ignore it
 * otherwise. Of the lost core's documents only the restored one is known: older versions get the outcome `forgotten`,
 * not a false conflict.
 */
export const applyRestore = (
  state: ReplicatedState,
  { record }: Extract<Command, { readonly type: 'restore' }>,
): ApplyResult => {
  const own = state.record;
  if (own !== undefined && own.revision >= record.revision) return { state, outcome: { type: 'done' } };
  const restored = own === undefined ? record : { ...own, revision: record.revision + 1 };
  const documents = withDocumentOf(withDocumentOf(state.documents, record), restored);
  return {
    state: {
      ...state,
      clockUs: Math.max(state.clockUs, record.takenAtUs),
      record: restored,
      documents: {
        ...documents,
        forgottenVersion: Math.max(documents.forgottenVersion, record.original?.version ?? 0),
      },
      proposals: {
        ...state.proposals,
        forgottenRevision: Math.max(state.proposals.forgottenRevision, record.revision),
      },
    },
    outcome: { type: 'done' },
  };
};
