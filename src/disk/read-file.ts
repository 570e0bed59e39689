import { Either, Left, Right } from 'purify-ts';
import { typedError, type TypedError } from '../common/typed-error.js';
import {
  alignBytes,
  decodeRecord,
  firstRecordOffset,
  headSlotBytes,
  paddedLength,
  recordHeadBytes,
  ringHead,
} from './record-format.js';
import { readMark, type SyncedMark } from './synced-mark.js';

/** Records of one generation, read from the start of a file. */
export type WholeContent = {
  readonly type: 'whole';
  readonly generation: number;
  /** The snapshot, and the records behind it. */
  readonly payloads: readonly Buffer[];
  readonly endOffset: number;
};

/** What one file of the ring holds. */
export type FileContent =
  | WholeContent
  /** Nothing was ever written where a head or a snapshot begins, or it was cleared. */
  | { readonly type: 'blank' }
  /** A rotation to this file was interrupted: no whole snapshot of the generation that its head names is in it. */
  | { readonly type: 'unfinished'; readonly generation: number }
  /** Records of this generation were synced, and do not hold any more. */
  | { readonly type: 'damaged'; readonly generation: number; readonly error: TypedError };

/** The head, the marks, and the head of the first record: without these bytes nothing in a file can be read back. */
export const startBytes = firstRecordOffset + recordHeadBytes;

const damaged = (name: string, message: string): TypedError => typedError('damaged-disk', `${name}: ${message}`);

/** Whether any whole record of this generation lies behind an offset, which a torn tail can not explain. */
const hasRecordBehind = (file: Buffer, offset: number, generation: number, sequence: number): boolean => {
  for (let probe = offset + alignBytes; probe + recordHeadBytes <= file.length; probe += alignBytes) {
    if (file.readUInt32LE(probe + 4) !== generation) continue;
    const record = decodeRecord(file, probe);
    if (record !== undefined && record.generation === generation && record.sequence >= sequence) return true;
  }
  return false;
};

/**
 * Whether the first slot is empty or holds part of a head, as after power was lost while it was written: its payload is
 * made of zeros and the head's own bytes, and nothing stands behind it. Anything else is a foreign file.
 */
const mayBeUnfinishedHead = (file: Buffer): boolean =>
  file.subarray(recordHeadBytes, headSlotBytes).every((byte, place) => byte === 0 || byte === (ringHead[place] ?? 0));

/** The records of a generation, from the start of a file to the first one that does not hold. */
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

/** What a file without a whole head holds. */
const readHeadless = (file: Buffer, name: string, mark: SyncedMark | undefined): Either<TypedError, FileContent> => {
  if (mark !== undefined)
    return Right({
      type: 'damaged',
      generation: mark.generation,
      error: damaged(name, 'the head does not hold although records were synced'),
    });
  if (file.subarray(0, startBytes).every((byte) => byte === 0)) return Right({ type: 'blank' });
  return mayBeUnfinishedHead(file)
    ? Right({ type: 'unfinished', generation: 0 })
    : Left(damaged(name, 'it was not written by this program'));
};

/** Why the records of a file are fewer than those that were synced; nothing where they may be all. */
const lossOf = (
  file: Buffer,
  mark: SyncedMark | undefined,
  generation: number,
  { payloads, endOffset }: Pick<WholeContent, 'payloads' | 'endOffset'>,
): string | undefined => {
  const count = payloads.length;
  if (mark !== undefined && mark.generation === generation && mark.sequence >= count)
    return `record ${count} does not hold although record ${mark.sequence} was synced`;
  return hasRecordBehind(file, endOffset, generation, count)
    ? `record ${count} does not hold although later records stand behind it`
    : undefined;
};

/**
 * Reads a file. A torn tail that was never synced is cut off. Whether damage matters depends on the other files of the
 * ring; a file of another program or format is an error in any case.
 */
export const readRingFile = (file: Buffer, name: string): Either<TypedError, FileContent> => {
  const head = decodeRecord(file, 0);
  const mark = readMark(file);
  if (head === undefined) return readHeadless(file, name, mark);
  if (!head.payload.equals(ringHead))
    return Left(
      damaged(name, `its format is "${head.payload.toString('latin1')}" and should be "${ringHead.toString()}"`),
    );
  const { generation } = head;
  const records = recordsOf(file, generation);
  const loss = lossOf(file, mark, generation, records);
  if (loss !== undefined) return Right({ type: 'damaged', generation, error: damaged(name, loss) });
  return Right(
    records.payloads.length === 0 ? { type: 'unfinished', generation } : { type: 'whole', generation, ...records },
  );
};
