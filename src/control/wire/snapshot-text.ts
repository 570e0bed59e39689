import { createHash } from 'node:crypto';
import { Left, type Either } from 'purify-ts';
import { checked } from '../../common/checked.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import type { Snapshot } from '../log/snapshot.js';
import { decodeSnapshot, encodeSnapshot, snapshotSchema } from './snapshot-codec.js';

/**
 * The transfer form of a snapshot: JSON in ASCII, so that it may be cut at any place. Both functions are pure; the
 * replicated machine calls them itself, so that what is sent and what is acknowledged are decided in one place.
 */
export type EncodedSnapshot = {
  readonly index: number;
  readonly term: number;
  readonly text: string;
  /** SHA-256 of the text, in hexadecimal. */
  readonly digest: string;
};

/** A snapshot whose text is longer is refused by the receiver, which bounds the memory of a transfer. */
export const maxSnapshotChars = 32 << 20;

const nonAscii = /[\u0080-\uffff]/g;

const escapedUnit = (unit: string): string => `\\u${unit.charCodeAt(0).toString(16).padStart(4, '0')}`;

const digestOf = (text: string): string => createHash('sha256').update(text, 'latin1').digest('hex');

/** Encodes a snapshot for its transfer. */
export const encodeSnapshotText = (snapshot: Snapshot): EncodedSnapshot => {
  const text = JSON.stringify(encodeSnapshot(snapshot)).replace(nonAscii, escapedUnit);
  return { index: snapshot.index, term: snapshot.term, text, digest: digestOf(text) };
};

/** Decodes a whole text after its digest has been compared. */
export const decodeSnapshotText = (text: string, digest: string): Either<TypedError, Snapshot> => {
  if (digestOf(text) !== digest) return Left(typedError('bad-message', 'the snapshot differs from its digest'));
  try {
    return checked(snapshotSchema, JSON.parse(text))
      .mapLeft((faults) => typedError('bad-message', 'the snapshot is not of a known form', faults))
      .map(decodeSnapshot);
  } catch (thrown) {
    return Left(typedError('bad-message', messageOf(thrown)));
  }
};
