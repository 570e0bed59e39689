import { Left, Right, type Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import { readRingFile, startBytes, type FileContent, type WholeContent } from './read-file.js';
import { encodeRecord, firstRecordOffset, paddedLength, ringHead } from './record-format.js';
import type { RingFile } from './ring-file.js';
import { encodeMark, markOffsetOf } from './synced-mark.js';

/** What a ring gave back when it was opened: a snapshot and the records after it. */
export type Recovered = {
  readonly snapshot: Buffer | undefined;
  readonly records: readonly Buffer[];
  /** The files in which an interrupted rotation was found and cleared. */
  readonly interrupted: readonly string[];
};

/** A ring of preallocated files. A record is kept once `append` has ended. */
export type DiskRing = {
  readonly recovered: Recovered;
  /**
   * Appends and syncs one record; when the file is full the snapshot, which holds the record, opens the next file. A refusal
   * keeps nothing and may pass: the same record may be appended again.
   */
  readonly append: (record: Uint8Array, snapshot: () => Uint8Array) => Promise<Either<TypedError, void>>;
  readonly close: () => Promise<void>;
};

type OpenFile<Content extends FileContent = FileContent> = { readonly file: RingFile; readonly content: Content };

const isWhole = (openFile: OpenFile): openFile is OpenFile<WholeContent> => openFile.content.type === 'whole';

/**
 * The file to go on with: the newest one that is whole. Writing to another file begins only once the newest one is whole and
 * synced, and then all that was acknowledged stands in the newest one. So whatever does not hold in a file of an
 * older generation is what an interrupted rotation left there. In the newest generation itself it is damage.
 */
const newestOf = (openFiles: readonly OpenFile[]): Either<TypedError, OpenFile<WholeContent> | undefined> => {
  const [newestWhole] = openFiles
    .filter(isWhole)
    .sort((left, right) => right.content.generation - left.content.generation);
  const newestGeneration = newestWhole?.content.generation ?? 0;
  for (const { content } of openFiles) {
    if (content.type === 'damaged' && content.generation >= newestGeneration) return Left(content.error);
    if (content.type === 'unfinished' && content.generation > newestGeneration + 1)
      return Left(
        typedError('damaged-disk', `no whole snapshot is left: generation ${content.generation} does not hold`),
      );
  }
  return Right(newestWhole);
};

const refusal = (thrown: unknown): TypedError => typedError('disk-refusal', messageOf(thrown));

const readFiles = async (files: readonly RingFile[]): Promise<Either<TypedError, readonly OpenFile[]>> => {
  const openFiles: OpenFile[] = [];
  for (const [index, file] of files.entries()) {
    const content = readRingFile(await file.read(), file.name ?? `ring file ${index}`);
    if (content.isLeft()) return Left(content.extract());
    content.ifRight((readContent) => openFiles.push({ file, content: readContent }));
  }
  return Right(openFiles);
};

/** What an interrupted rotation left in a file: a later one must not complete it. */
const isInterrupted = ({ content }: OpenFile): boolean => content.type === 'unfinished' || content.type === 'damaged';

/**
 * Makes durable what was found. A process that was killed leaves writes that are read back but never synced: a machine that
 * answers for such a record and then loses power would have acknowledged what is gone. And an interrupted rotation may leave
 * a snapshot without its head: the head of the next rotation, which has the same generation, would bring that snapshot back,
 * without what was acknowledged since.
 */
const makeDurable = async (
  newestFile: OpenFile | undefined,
  interruptedFiles: readonly OpenFile[],
): Promise<Either<TypedError, void>> => {
  try {
    await newestFile?.file.sync();
    for (const { file } of interruptedFiles) {
      await file.write(0, Buffer.alloc(startBytes));
      await file.sync();
    }
    return Right(undefined);
  } catch (thrown) {
    return Left(refusal(thrown));
  }
};

/** The ring whose newest file is this one, or that is empty. */
const ringFrom = (
  files: readonly RingFile[],
  newestFile: OpenFile<WholeContent> | undefined,
  interruptedFiles: readonly OpenFile[],
): DiskRing => {
  let generation = newestFile?.content.generation ?? 0;
  let currentFile = newestFile?.file;
  let sequence = newestFile?.content.payloads.length ?? 0;
  let offset = newestFile?.content.endOffset ?? firstRecordOffset;

  const mark = async (file: RingFile, syncedSequence: number): Promise<void> =>
    file.write(markOffsetOf(syncedSequence), encodeMark({ generation, sequence: syncedSequence }));

  const startNextFile = async (snapshot: Uint8Array): Promise<Either<TypedError, void>> => {
    const nextIndex = (currentFile === undefined ? 0 : files.indexOf(currentFile) + 1) % files.length;
    const nextFile = files[nextIndex];
    if (nextFile === undefined || firstRecordOffset + paddedLength(snapshot.length) > nextFile.size)
      return Left(typedError('disk-error', `a snapshot of ${snapshot.length} bytes does not fit into a ring file`));
    const nextGeneration = generation + 1;
    await nextFile.write(0, Buffer.alloc(firstRecordOffset));
    await nextFile.write(0, encodeRecord(nextGeneration, 0, ringHead));
    await nextFile.write(firstRecordOffset, encodeRecord(nextGeneration, 0, snapshot));
    await nextFile.sync();
    await nextFile.write(markOffsetOf(0), encodeMark({ generation: nextGeneration, sequence: 0 }));
    generation = nextGeneration;
    currentFile = nextFile;
    sequence = 1;
    offset = firstRecordOffset + paddedLength(snapshot.length);
    return Right(undefined);
  };

  const append = async (record: Uint8Array, snapshot: () => Uint8Array): Promise<Either<TypedError, void>> => {
    try {
      if (currentFile === undefined || offset + paddedLength(record.length) > currentFile.size)
        return await startNextFile(snapshot());
      await currentFile.write(offset, encodeRecord(generation, sequence, record));
      await currentFile.sync();
      await mark(currentFile, sequence);
      offset += paddedLength(record.length);
      sequence += 1;
      return Right(undefined);
    } catch (thrown) {
      return Left(refusal(thrown));
    }
  };

  return {
    recovered: {
      snapshot: newestFile?.content.payloads[0],
      records: newestFile?.content.payloads.slice(1) ?? [],
      interrupted: interruptedFiles.map(({ file }) => file.name ?? `ring file ${files.indexOf(file)}`),
    },
    append,
    close: async () => {
      for (const file of files) await file.close();
    },
  };
};

/**
 * Opens a ring over its files, and recovers what was synced. All that it gives back is durable; files of an interrupted
 * rotation are cleared, others keep their bytes.
 */
export const openDiskRing = async (files: readonly RingFile[]): Promise<Either<TypedError, DiskRing>> => {
  const read = await readFiles(files);
  const found = read.chain(newestOf);
  if (found.isLeft()) return Left(found.extract());
  const newestFile = found.orDefault(undefined);
  const interruptedFiles = read.orDefault([]).filter(isInterrupted);
  const durable = await makeDurable(newestFile, interruptedFiles);
  return durable.map(() => ringFrom(files, newestFile, interruptedFiles));
};
