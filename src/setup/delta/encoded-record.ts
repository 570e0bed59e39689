import { createHash } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { LRUCache } from 'lru-cache';
import { Left, Right, type Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import { isSetupRecord } from '../check/setup-guard.js';
import type { SetupRecord } from '../document/setup-record.js';

/** The maximum size of the uncompressed JSON of a record. */
const maxRecordBytes = 64 << 20;
/** The fastest level; it still compresses the text of a configuration to about a tenth. */
const compression = { level: 1 };

/** The number of decoded records cached by the digest of their bytes: several peers may send the same record. */
const maxDecodedRecords = 4;

const knownBytes = new WeakMap<SetupRecord, Uint8Array>();
const decodedRecords = new LRUCache<string, SetupRecord>({ max: maxDecodedRecords });

const digestOf = (bytes: Uint8Array): string => createHash('sha256').update(bytes).digest('base64');

/**
 * The encoding of a record between nodes: compressed JSON. Each record is encoded once, and a record received from
 * another node is forwarded in the bytes in which it arrived, so that the encoding cost of a change does not grow with
 * the number of recipients.
 */
export const encodedRecordOf = (record: SetupRecord): Uint8Array => {
  const cached = knownBytes.get(record);
  if (cached !== undefined) return cached;
  const bytes = deflateRawSync(JSON.stringify(record), compression);
  knownBytes.set(record, bytes);
  return bytes;
};

/** Decodes a record; equal bytes yield the same object while it is cached. Fails with `bad-message` for other bytes. */
export const decodeRecord = (bytes: Uint8Array): Either<TypedError, SetupRecord> => {
  const digest = digestOf(bytes);
  const decoded = decodedRecords.get(digest);
  if (decoded !== undefined) return Right(decoded);
  try {
    const text = inflateRawSync(bytes, { maxOutputLength: maxRecordBytes }).toString('utf8');
    const record: unknown = JSON.parse(text);
    if (!isSetupRecord(record)) return Left(typedError('bad-message', 'the decoded value is not a setup record'));
    knownBytes.set(record, Uint8Array.from(bytes));
    decodedRecords.set(digest, record);
    return Right(record);
  } catch (thrown) {
    return Left(typedError('bad-message', messageOf(thrown)));
  }
};
