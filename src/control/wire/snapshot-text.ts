import { createHash } from 'node:crypto';
import { Left, type Either } from 'purify-ts';
import { validate } from '../../common/validate.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import type { Snapshot } from '../log/snapshot.js';
import { decodeSnapshot, encodeSnapshot, snapshotSchema } from './snapshot-codec.js';

/**
 * A snapshot encoded for transfer: JSON in ASCII, so that it can be split at any character. Encoding and decoding are
 * pure; the control state machine calls them itself, so that sends and acknowledgements are decided in one place.
 */
export type EncodedSnapshot = {
  readonly index: number;
  readonly term: number;
  readonly text: string;
  /** SHA-256 of the text, in hexadecimal. */
  readonly digest: string;
};

/** The receiver refuses a longer snapshot text, which limits the memory that a transfer uses. */
export const maxSnapshotChars = 32 << 20;

const nonAscii = /[\u0080-\uffff]/g;

const escapeCodeUnit = (unit: string): string => `\\u${unit.charCodeAt(0).toString(16).padStart(4, '0')}`;

const digestOf = (text: string): string => createHash('sha256').update(text, 'latin1').digest('hex');

export const encodeSnapshotText = (snapshot: Snapshot): EncodedSnapshot => {
  const text = JSON.stringify(encodeSnapshot(snapshot)).replace(nonAscii, escapeCodeUnit);
  return { index: snapshot.index, term: snapshot.term, text, digest: digestOf(text) };
};

/** Decodes a complete text; a `bad-message` error if its digest differs or it does not match the schema. */
export const decodeSnapshotText = (text: string, digest: string): Either<TypedError, Snapshot> => {
  if (digestOf(text) !== digest) return Left(typedError('bad-message', 'the snapshot text does not match its digest'));
  try {
    return validate(snapshotSchema, JSON.parse(text))
      .mapLeft((faults) => typedError('bad-message', 'the snapshot does not match its schema', faults))
      .map(decodeSnapshot);
  } catch (thrown) {
    return Left(typedError('bad-message', messageOf(thrown)));
  }
};
