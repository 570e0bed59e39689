import type { Micros } from '../../common/micros.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Claim } from './claim.js';
import type { ProposalOutcome } from './proposal-outcome.js';

/** What the log folds into; the same on every core machine at the same index. */
export type ReplicatedState = {
  readonly clockUs: Micros;
  readonly record: SetupRecord | undefined;
  readonly proposals: ReadonlyMap<string, ProposalOutcome>;
  /** Claims on shelves, so that one claim copies one shelf only. */
  readonly buckets: ReadonlyMap<number, ReadonlyMap<string, Claim>>;
  readonly claimCount: number;
};

export const startReplicatedState: ReplicatedState = {
  clockUs: 0,
  record: undefined,
  proposals: new Map(),
  buckets: new Map(),
  claimCount: 0,
};
