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
  type DiskRecord,
} from './record-format.js';
import { readMark } from './synced-mark.js';

/** What one file of the ring holds; `complete` says that its snapshot was finished. */
export type FileContent = {
  readonly generation: number;
  readonly complete: boolean;
  readonly payloads: readonly Buffer[];
  readonly endOffset: number;
  /**
   * The head does not hold though records of this generation were synced. That is damage, unless a newer generation is
   * whole: then power was lost while this file was being made ready for the next one.
   */
  readonly headFault?: { readonly generation: number; readonly error: TypedError };
};

export const emptyContent: FileContent = { generation: 0, complete: false, payloads: [], endOffset: firstRecordOffset };

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

/** Reads a file: a torn tail that was never synced is cut off, anything else that does not hold is damage. */
export const readRingFile = (file: Buffer, name: string): Either<TypedError, FileContent> => {
  const head = decodeRecord(file, 0);
  const mark = readMark(file);
  if (head === undefined) {
    if (mark !== undefined)
      return Right({
        ...emptyContent,
        headFault: {
          generation: mark.generation,
          error: damaged(name, 'the head does not hold although records were synced'),
        },
      });
    if (!mayBeUnfinishedHead(file)) return Left(damaged(name, 'it was not written by this program'));
    return Right(emptyContent);
  }
  if (!head.payload.equals(ringHead))
    return Left(
      damaged(name, `its format is "${head.payload.toString('latin1')}" and should be "${ringHead.toString()}"`),
    );
  const generation = head.generation;
  const records: DiskRecord[] = [];
  let offset = firstRecordOffset;
  for (;;) {
    const record = decodeRecord(file, offset);
    if (record === undefined || record.generation !== generation || record.sequence !== records.length) break;
    records.push(record);
    offset += paddedLength(record.payload.length);
  }
  if (mark !== undefined && mark.generation === generation && mark.sequence >= records.length)
    return Left(damaged(name, `record ${records.length} does not hold although record ${mark.sequence} was synced`));
  if (hasRecordBehind(file, offset, generation, records.length))
    return Left(damaged(name, `record ${records.length} does not hold although later records stand behind it`));
  return Right({
    generation,
    complete: records.length > 0,
    payloads: records.map((record) => record.payload),
    endOffset: offset,
  });
};
