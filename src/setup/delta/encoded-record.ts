import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { LRUCache } from 'lru-cache';
import { Left, Right, type Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import { isSetupRecord } from '../check/setup-guard.js';
import type { SetupRecord } from '../document/setup-record.js';

/** The longest text of a record that is read. */
const maxRecordBytes = 64 << 20;
/** The fastest level; text of configurations still shrinks to a tenth. */
const compression = { level: 1 };

/** A few records by the digest of their bytes: several partners may answer with the same one. */
const mostDecoded = 4;

const knownBytes = new WeakMap<SetupRecord, Uint8Array>();
const decodedRecords = new LRUCache<string, SetupRecord>({ max: mostDecoded });

const digestOf = (bytes: Uint8Array): string => createHash('sha256').update(bytes).digest('base64');

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

/** The record in some bytes, the same one for the same bytes; ones that hold none are an error. */
export const decodeRecord = (bytes: Uint8Array): Either<TypedError, SetupRecord> => {
  const digest = digestOf(bytes);
  const decoded = decodedRecords.get(digest);
  if (decoded !== undefined) return Right(decoded);
  try {
    const text = inflateRawSync(bytes, { maxOutputLength: maxRecordBytes }).toString('utf8');
    const record: unknown = JSON.parse(text);
    if (!isSetupRecord(record)) return Left(typedError('bad-message', 'this is no record of a configuration'));
    knownBytes.set(record, Uint8Array.from(bytes));
    decodedRecords.set(digest, record);
    return Right(record);
  } catch (thrown) {
    return Left(typedError('bad-message', messageOf(thrown)));
  }
};
