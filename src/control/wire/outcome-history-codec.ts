import { array, number, object, string, type InferType } from 'yup';
import { boundedMapOf, entriesInOrder } from '../../common/bounded-map.js';
import type { CommittedDocument } from '../state/document-history.js';
import { maxRememberedDocuments } from '../state/document-history.js';
import { maxRememberedProposals } from '../state/proposal-history.js';
import type { ProposalOutcome } from '../state/proposal-outcome.js';
import { maxRefusedProposals } from '../state/refused-proposals.js';
import type { ReplicatedState } from '../state/replicated-state.js';

/** An encoded document: version and revision as 64-bit floating-point numbers, and a digest of 128 bits. */
const numberBytes = 8;
const digestBytes = 16;
const documentBytes = 2 * numberBytes + digestBytes;
const base64BytesOf = (bytes: number): number => Math.ceil(bytes / 3) * 4;

/** The BSON overhead of a list element besides its text: its type, its index in digits and the length of the text. */
const listElementBytes = 1 + 6 + 4 + 1;
/** An id of at most 128 characters, the longest type, a revision of 16 digits and two spaces. */
const proposalBytes = listElementBytes + 128 + 'committed'.length + 16 + 2;
/** Two versions and a time of 16 digits each, a digest of 32 hexadecimal digits and three separators. */
const refusalBytes = listElementBytes + 3 * 16 + 32 + 3;

/** The largest encoded outcome history; 43 bytes per document, 167 per proposal without a document. */
export const maxOutcomeHistoryBytes =
  base64BytesOf(maxRememberedDocuments * documentBytes) +
  maxRememberedProposals * proposalBytes +
  maxRefusedProposals * refusalBytes +
  256;

/** An upper bound on the encoded size of a state's outcome history. */
export const outcomeHistoryBytesOf = ({ documents, proposals, refusedOrders }: OutcomeHistory): number =>
  base64BytesOf(documents.committed.order.size * documentBytes) +
  proposals.outcomes.order.size * proposalBytes +
  refusedOrders.order.size * refusalBytes;

const documentsPattern = /^[A-Za-z0-9+/]*={0,2}$/;
const proposalPattern = /^(committed|conflict|cancelled) (\d+) ([^]+)$/;
const refusalPattern = /^(\d+) (\S+)$/;

const isWholeNumberOfDocuments = (text: string | undefined): boolean =>
  text !== undefined && Buffer.byteLength(text, 'base64') % documentBytes === 0;

/** The encoded form of the outcome history, on the wire and on disk; each list oldest first. */
export const outcomeHistorySchema = object({
  forgottenVersion: number().required().min(0),
  forgottenRevision: number().required().integer().min(0),
  /** All documents as one base64 text; empty for none. */
  documents: string().defined().matches(documentsPattern).test('whole documents', isWholeNumberOfDocuments),
  /** Each proposal as one text: outcome, revision and id, separated by spaces. */
  proposals: array(string().required().matches(proposalPattern)).required(),
  /** Each refused proposal as one text: time and key, separated by a space. */
  refusals: array(string().required().matches(refusalPattern)).required(),
}).required();

export type PlainOutcomeHistory = InferType<typeof outcomeHistorySchema>;

type OutcomeHistory = Pick<ReplicatedState, 'documents' | 'proposals' | 'refusedOrders'>;

const encodeDocuments = (documents: readonly (readonly [number, CommittedDocument])[]): string => {
  const bytes = Buffer.alloc(documents.length * documentBytes);
  for (const [position, [version, { digest, revision }]] of documents.entries()) {
    const start = position * documentBytes;
    bytes.writeDoubleBE(version, start);
    bytes.writeDoubleBE(revision, start + numberBytes);
    bytes.write(digest, start + 2 * numberBytes, digestBytes, 'hex');
  }
  return bytes.toString('base64');
};

const decodeDocuments = (text: string): readonly (readonly [number, CommittedDocument])[] => {
  const bytes = Buffer.from(text, 'base64');
  return Array.from({ length: bytes.length / documentBytes }, (_, position) => {
    const start = position * documentBytes;
    const digest = bytes.subarray(start + 2 * numberBytes, start + documentBytes).toString('hex');
    const revision = bytes.readDoubleBE(start + numberBytes);
    return [bytes.readDoubleBE(start), { digest, revision }] as const;
  });
};

const decodeProposal = (line: string): readonly (readonly [string, ProposalOutcome])[] => {
  const [, type, revisionText, proposal] = proposalPattern.exec(line) ?? [];
  const revision = Number(revisionText);
  if (proposal === undefined) return [];
  switch (type) {
    case 'committed':
    case 'conflict':
    case 'cancelled':
      return [[proposal, { type, revision }]];
    default:
      return [];
  }
};

const decodeRefusal = (line: string): readonly (readonly [string, number])[] => {
  const [, atText, order] = refusalPattern.exec(line) ?? [];
  return order === undefined ? [] : [[order, Number(atText)]];
};

export const encodeOutcomeHistory = ({ documents, proposals, refusedOrders }: OutcomeHistory): PlainOutcomeHistory => ({
  forgottenVersion: documents.forgottenVersion,
  forgottenRevision: proposals.forgottenRevision,
  documents: encodeDocuments(entriesInOrder(documents.committed)),
  proposals: entriesInOrder(proposals.outcomes).map(([id, { type, revision }]) => `${type} ${revision} ${id}`),
  refusals: entriesInOrder(refusedOrders).map(([order, atUs]) => `${atUs} ${order}`),
});

export const decodeOutcomeHistory = (plain: PlainOutcomeHistory): OutcomeHistory => ({
  documents: {
    committed: boundedMapOf(decodeDocuments(plain.documents)),
    forgottenVersion: plain.forgottenVersion,
  },
  proposals: {
    outcomes: boundedMapOf(plain.proposals.flatMap(decodeProposal)),
    forgottenRevision: plain.forgottenRevision,
  },
  refusedOrders: boundedMapOf(plain.refusals.flatMap(decodeRefusal)),
});
