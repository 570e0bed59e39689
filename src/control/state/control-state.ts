import type { Micros } from '../../common/micros.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Claim } from './claim.js';
import type { ProposalOutcome } from './proposal-outcome.js';

/** What the log folds into; the same on every core machine at the same index. */
export type ControlState = {
  readonly clockUs: Micros;
  readonly record: SetupRecord | undefined;
  readonly proposals: ReadonlyMap<string, ProposalOutcome>;
  /** Claims on shelves, so that one claim copies one shelf only. */
  readonly shelves: ReadonlyMap<number, ReadonlyMap<string, Claim>>;
  readonly claimCount: number;
};

export const startControlState: ControlState = {
  clockUs: 0,
  record: undefined,
  proposals: new Map(),
  shelves: new Map(),
  claimCount: 0,
};
