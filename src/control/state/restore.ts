import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Command } from '../log/command.js';
import type { Applied } from './applied.js';
import { digestOfText, rememberDocument, type DocumentHistory } from './document-history.js';
import type { ReplicatedState } from './replicated-state.js';

/** Remembers the document of a record, if it was made of one. */
const withDocumentOf = (documents: DocumentHistory, { original, revision }: SetupRecord): DocumentHistory =>
  original === undefined
    ? documents
    : rememberDocument(documents, original.version, { digest: digestOfText(original.text), revision });

/**
 * A core that has lost everything takes up what nodes hold. What operators have committed since is newer in time, so it
 * stays, and goes on above what nodes hold, or they would never take it. The documents of the lost core are forgotten but
 * for the one that nodes hold: versions up to that one get no false conflict.
 */
export const applyRestore = (
  state: ReplicatedState,
  { record }: Extract<Command, { readonly type: 'restore' }>,
): Applied => {
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
