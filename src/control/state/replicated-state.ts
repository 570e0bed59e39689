import type { Micros } from '../../common/micros.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Claim } from './claim.js';
import { emptyDocumentHistory, type DocumentHistory } from './document-history.js';
import { emptyProposalHistory, type ProposalHistory } from './proposal-history.js';
import { emptyRefusedProposals, type RefusedProposals } from './refused-proposals.js';

/** The state that results from the committed entries; the same on every replica at the same index. */
export type ReplicatedState = {
  /** The latest time stamp of a committed command. */
  readonly clockUs: Micros;
  /** The current setup with its revision. */
  readonly record: SetupRecord | undefined;
  /** The operators' own documents that were committed, decided by their versions. */
  readonly documents: DocumentHistory;
  /**
   * The outcomes of proposals without a document, decided by their expected revision, and cancelled proposals of either
   * kind.
   */
  readonly proposals: ProposalHistory;
  readonly refusedOrders: RefusedProposals;
  /** Claims by key, in hash buckets, so that a new claim copies one bucket only. */
  readonly buckets: ReadonlyMap<number, ReadonlyMap<string, Claim>>;
  readonly claimCount: number;
};

export const emptyReplicatedState: ReplicatedState = {
  clockUs: 0,
  record: undefined,
  documents: emptyDocumentHistory,
  proposals: emptyProposalHistory,
  refusedOrders: emptyRefusedProposals,
  buckets: new Map(),
  claimCount: 0,
};
