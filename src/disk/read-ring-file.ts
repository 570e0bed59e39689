import { Either, Left, Right } from 'purify-ts';
import { typedError, type TypedError } from '../common/typed-error.js';
import {
  alignBytes,
  decodeRecord,
  firstRecordOffset,
  fileHeaderBytes,
  paddedLength,
  recordHeaderBytes,
  ringHeader,
} from './record-format.js';
import { latestMark, type SyncedMark } from './synced-mark.js';

/** The content of a file with a valid snapshot: the records of one generation up to the first invalid one. */
export type WholeContent = {
  readonly type: 'whole';
  readonly generation: number;
  /** The snapshot, followed by the records appended after it. */
  readonly payloads: readonly Buffer[];
  /** The offset of the next append. */
  readonly endOffset: number;
};

/** The content of one ring file. */
export type FileContent =
  | WholeContent
  /** The file was never written to, or it was cleared: the header and the start of the snapshot are zeros. */
  | { readonly type: 'blank' }
  /** A rotation to this file was interrupted: it has no valid snapshot of the generation in its header. */
  | { readonly type: 'unfinished'; readonly generation: number }
  /** Synced records of this generation are missing or invalid. */
  | { readonly type: 'damaged'; readonly generation: number; readonly error: TypedError };

/** The file header, the marks, and the header of the first record; a file in which these bytes are cleared is blank. */
export const fileStartBytes = firstRecordOffset + recordHeaderBytes;

const damaged = (name: string, message: string): TypedError => typedError('damaged-disk', `${name}: ${message}`);

/** Whether a valid record of this generation follows the offset; a torn tail can not leave one. */
const hasLaterRecord = (file: Buffer, offset: number, generation: number, sequence: number): boolean => {
  for (let probe = offset + alignBytes; probe + recordHeaderBytes <= file.length; probe += alignBytes) {
    if (file.readUInt32LE(probe + 4) !== generation) continue;
    const record = decodeRecord(file, probe);
    if (record !== undefined && record.generation === generation && record.sequence >= sequence) return true;
  }
  return false;
};

/**
 * Whether the first slot can be a header torn by a power failure: each byte is either zero or the expected byte of the
 * header, and the bytes after the header are zero. Any other content was written by another program.
 */
const canBeTornHeader = (file: Buffer): boolean =>
  file
    .subarray(recordHeaderBytes, fileHeaderBytes)
    .every((byte, index) => byte === 0 || byte === (ringHeader[index] ?? 0));

/** The records of a generation, from the start of a file up to the first invalid one. */
const recordsOf = (file: Buffer, generation: number): Pick<WholeContent, 'payloads' | 'endOffset'> => {
  const payloads: Buffer[] = [];
  let offset = firstRecordOffset;
  for (;;) {
    const record = decodeRecord(file, offset);
    if (record === undefined || record.generation !== generation || record.sequence !== payloads.length)
      return { payloads, endOffset: offset };
    payloads.push(record.payload);
    offset += paddedLength(record.payload.length);
  }
};

/** The content of a file without a valid header. */
const readWithoutHeader = (
  file: Buffer,
  name: string,
  mark: SyncedMark | undefined,
): Either<TypedError, FileContent> => {
  if (mark !== undefined)
    return Right({
      type: 'damaged',
      generation: mark.generation,
      error: damaged(name, 'invalid file header although records were synced'),
    });
  if (file.subarray(0, fileStartBytes).every((byte) => byte === 0)) return Right({ type: 'blank' });
  return canBeTornHeader(file)
    ? Right({ type: 'unfinished', generation: 0 })
    : Left(damaged(name, 'not a ring file: unknown content in place of the file header'));
};

/** A description of lost synced records; undefined if no loss is found. */
const describeLoss = (
  file: Buffer,
  mark: SyncedMark | undefined,
  generation: number,
  { payloads, endOffset }: Pick<WholeContent, 'payloads' | 'endOffset'>,
): string | undefined => {
  const count = payloads.length;
  if (mark !== undefined && mark.generation === generation && mark.sequence >= count)
    return `record ${count} is invalid although the records up to ${mark.sequence} were synced`;
  return hasLaterRecord(file, endOffset, generation, count)
    ? `record ${count} is invalid although later records of the generation are valid`
    : undefined;
};

/**
 * Parses the content of a ring file. A torn tail that was never synced is dropped. The caller decides whether damage
 * matters, which depends on the other files of the ring; a file of another program or format version is always an
 * error.
 */
export const readRingFile = (file: Buffer, name: string): Either<TypedError, FileContent> => {
  const head = decodeRecord(file, 0);
  const mark = latestMark(file);
  if (head === undefined) return readWithoutHeader(file, name, mark);
  if (!head.payload.equals(ringHeader))
    return Left(
      damaged(name, `unsupported format "${head.payload.toString('latin1')}", expected "${ringHeader.toString()}"`),
    );
  const { generation } = head;
  const records = recordsOf(file, generation);
  const loss = describeLoss(file, mark, generation, records);
  if (loss !== undefined) return Right({ type: 'damaged', generation, error: damaged(name, loss) });
  return Right(
    records.payloads.length === 0 ? { type: 'unfinished', generation } : { type: 'whole', generation, ...records },
  );
};
