import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { Left, Right, type Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import { isSetupRecord } from '../check/setup-guard.js';
import type { SetupRecord } from '../document/setup-record.js';

/** The longest text of a record that is read. */
const maxRecordBytes = 64 << 20;
/** The fastest level; text of configurations still shrinks to a tenth. */
const compression = { level: 1 };

const knownBytes = new WeakMap<SetupRecord, Uint8Array>();

/**
 * A record as it travels between nodes: its JSON, compressed. It is worked out once for each record, and a record that
 * came from another node is handed on in the very bytes in which it came, so that what a change costs a node does not
 * grow with the number of those that it tells.
 */
export const encodedRecordOf = (record: SetupRecord): Uint8Array => {
  const known = knownBytes.get(record);
  if (known !== undefined) return known;
  const bytes = deflateRawSync(JSON.stringify(record), compression);
  knownBytes.set(record, bytes);
  return bytes;
};

/** The record in some bytes; ones that hold none are an error. */
export const decodeRecord = (bytes: Uint8Array): Either<TypedError, SetupRecord> => {
  try {
    const text = inflateRawSync(bytes, { maxOutputLength: maxRecordBytes }).toString('utf8');
    const record: unknown = JSON.parse(text);
    if (!isSetupRecord(record)) return Left(typedError('bad-message', 'this is no record of a configuration'));
    knownBytes.set(record, Uint8Array.from(bytes));
    return Right(record);
  } catch (thrown) {
    return Left(typedError('bad-message', messageOf(thrown)));
  }
};
