import { createHash } from 'node:crypto';
import { emptyBoundedMap, setBounded, type BoundedMap } from '../../common/bounded-map.js';
import type { Original } from '../../setup/document/original.js';

/**
 * How many committed documents are remembered. Operators commit up to 1,000 a day, so a repeated proposal is recognised
 * for sixteen days; a client repeats one within minutes. An older one gets the outcome `forgotten`, never a false
 * conflict.
 */
export const maxRememberedDocuments = 16_384;

/** 128 bits of SHA-256: the probability that any two of 2^14 documents collide is below 2^-100. */
const digestHexChars = 32;

/** A document that was committed under its version. */
export type CommittedDocument = {
  readonly digest: string;
  readonly revision: number;
};

/** The committed documents by version, in the order of their commits. */
export type DocumentHistory = {
  readonly committed: BoundedMap<number, CommittedDocument>;
  /** The highest version that may have been committed and then evicted. */
  readonly forgottenVersion: number;
};

export const emptyDocumentHistory: DocumentHistory = { committed: emptyBoundedMap(), forgottenVersion: 0 };

/** The digest of a document's exact text. */
export const digestOfText = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, digestHexChars);

/** The proposal id of a document: the same for the same version and text, whichever node proposes it. */
export const proposalOfDocument = ({ version, text }: Original): string => `original-${version}-${digestOfText(text)}`;

const proposalForm = /^original-(\d{1,16})-([0-9a-f]{32})$/;

/** The committed document with a proposal id, if it is remembered. */
export const findDocumentOfProposal = (history: DocumentHistory, proposal: string): CommittedDocument | undefined => {
  const [, version, digest] = proposalForm.exec(proposal) ?? [];
  const document = version === undefined ? undefined : history.committed.entries.get(Number(version));
  return document?.digest === digest ? document : undefined;
};

/** Adds a committed document; evicts the oldest one at the size limit. */
export const rememberDocument = (
  history: DocumentHistory,
  version: number,
  document: CommittedDocument,
): DocumentHistory => {
  const { map, evicted } = setBounded(history.committed, version, document, maxRememberedDocuments);
  return {
    committed: map,
    forgottenVersion: Math.max(history.forgottenVersion, ...evicted.map(([evictedVersion]) => evictedVersion)),
  };
};
