import type { Micros } from '../../common/micros.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Claim } from './claim.js';
import { emptyDocumentHistory, type DocumentHistory } from './document-history.js';
import { emptyProposalHistory, type ProposalHistory } from './proposal-history.js';
import { emptyRefusedOrders, type RefusedOrders } from './refused-orders.js';

/** What the log folds into; the same on every core machine at the same index. */
export type ReplicatedState = {
  readonly clockUs: Micros;
  readonly record: SetupRecord | undefined;
  /** Operators' own documents, decided by their versions. */
  readonly documents: DocumentHistory;
  /** Proposals with ids of their own, decided by the revision they build on, and cancelled proposals of either kind. */
  readonly proposals: ProposalHistory;
  readonly refusedOrders: RefusedOrders;
  /** Claims in buckets, so that one claim copies one bucket only. */
  readonly buckets: ReadonlyMap<number, ReadonlyMap<string, Claim>>;
  readonly claimCount: number;
};

export const startReplicatedState: ReplicatedState = {
  clockUs: 0,
  record: undefined,
  documents: emptyDocumentHistory,
  proposals: emptyProposalHistory,
  refusedOrders: emptyRefusedOrders,
  buckets: new Map(),
  claimCount: 0,
};
