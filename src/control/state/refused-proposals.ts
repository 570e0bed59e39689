import { emptyBoundedMap, setBounded, type BoundedMap } from '../../common/bounded-map.js';
import type { Micros } from '../../common/micros.js';

/**
 * How long the refusal of a document whose expected version is not committed yet is final. One request may be in the
 * log twice, and the second copy must not be committed after the first was refused. A request and its copies are in
 * transit for at most a few seconds.
 */
export const refusalRetentionUs: Micros = 10_000_000;
export const maxRefusedProposals = 1_024;

/**
 * Proposals that were refused because their expected version was not committed yet, with the time of refusal, oldest
 * first.
 */
export type RefusedProposals = BoundedMap<string, Micros>;

/** The proposal of a document that replaces the document of an expected version. */
export type DocumentProposal = {
  readonly version: number;
  readonly digest: string;
  readonly expectedVersion: number;
};

export const emptyRefusedProposals: RefusedProposals = emptyBoundedMap();

const keyOf = ({ version, digest, expectedVersion }: DocumentProposal): string =>
  `${expectedVersion}:${version}:${digest}`;

export const isRefused = (refusals: RefusedProposals, proposal: DocumentProposal, clockUs: Micros): boolean => {
  const refusedAtUs = refusals.entries.get(keyOf(proposal));
  return refusedAtUs !== undefined && clockUs < refusedAtUs + refusalRetentionUs;
};

export const rememberRefusal = (
  refusals: RefusedProposals,
  proposal: DocumentProposal,
  clockUs: Micros,
): RefusedProposals => setBounded(refusals, keyOf(proposal), clockUs, maxRefusedProposals).map;
