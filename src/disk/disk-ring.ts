import { Left, Right, type Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import { readRingFile, fileStartBytes, type FileContent, type WholeContent } from './read-ring-file.js';
import { encodeRecord, firstRecordOffset, paddedLength, ringHeader } from './record-format.js';
import type { RingFile } from './ring-file.js';
import { encodeMark, markOffsetOf } from './synced-mark.js';

/** The content recovered when a ring was opened: the latest snapshot, and the records appended after it. */
export type RecoveredContent = {
  readonly snapshot: Buffer | undefined;
  readonly records: readonly Buffer[];
  /** The names of the files that held an interrupted rotation and were cleared. */
  readonly interrupted: readonly string[];
};

/**
 * A write-ahead log over a ring of preallocated files. Each rotation writes a snapshot to the next file, which starts a
 * new generation and replaces all older files. A record is durable once `append` has resolved to Right.
 */
export type DiskRing = {
  readonly recovered: RecoveredContent;
  /**
   * Appends and syncs one record. If the file is full, rotates to the next file instead; the snapshot written there
   * must include the record. A `disk-refusal` error leaves the ring unchanged and may be temporary: the same record may
   * be appended again.
   */
  readonly append: (record: Uint8Array, snapshot: () => Uint8Array) => Promise<Either<TypedError, void>>;
  readonly close: () => Promise<void>;
};

type OpenFile<Content extends FileContent = FileContent> = { readonly file: RingFile; readonly content: Content };

const isWhole = (openFile: OpenFile): openFile is OpenFile<WholeContent> => openFile.content.type === 'whole';

/**
 * The whole file of the newest generation, to which the ring appends. A rotation to another file begins only when the
 * newest file is whole and synced, and that file then holds everything that was acknowledged. Invalid content in a file
 * of an older generation is therefore the rest of an interrupted rotation; in the newest generation it is damage.
 */
const newestWholeFile = (openFiles: readonly OpenFile[]): Either<TypedError, OpenFile<WholeContent> | undefined> => {
  const [newestWhole] = openFiles
    .filter(isWhole)
    .sort((left, right) => right.content.generation - left.content.generation);
  const newestGeneration = newestWhole?.content.generation ?? 0;
  for (const { content } of openFiles) {
    if (content.type === 'damaged' && content.generation >= newestGeneration) return Left(content.error);
    if (content.type === 'unfinished' && content.generation > newestGeneration + 1)
      return Left(
        typedError(
          'damaged-disk',
          `no complete snapshot found: the snapshot of generation ${content.generation} is invalid`,
        ),
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
    content.ifRight((fileContent) => openFiles.push({ file, content: fileContent }));
  }
  return Right(openFiles);
};

/** Whether a file holds the rest of an interrupted rotation, which a later rotation must not complete. */
const isInterrupted = ({ content }: OpenFile): boolean => content.type === 'unfinished' || content.type === 'damaged';

/**
 * Makes the recovered state durable before it is used. A killed process leaves writes that can be read back but were
 * never synced: a node that acknowledges such a record and then loses power has lost an acknowledged record. An
 * interrupted rotation can leave a snapshot without its header: the header of the next rotation, which has the same
 * generation, would make that snapshot valid again, without the records acknowledged since. Such files are therefore
 * cleared.
 */
const makeDurable = async (
  newestFile: OpenFile | undefined,
  interruptedFiles: readonly OpenFile[],
): Promise<Either<TypedError, void>> => {
  try {
    await newestFile?.file.sync();
    for (const { file } of interruptedFiles) {
      await file.write(0, Buffer.alloc(fileStartBytes));
      await file.sync();
    }
    return Right(undefined);
  } catch (thrown) {
    return Left(refusal(thrown));
  }
};

/**
 * The ring that appends to the given newest file; without one the ring is empty, and the first append starts a file.
 */
const createRing = (
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
      return Left(typedError('disk-error', `a snapshot of ${snapshot.length} bytes exceeds the size of a ring file`));
    const nextGeneration = generation + 1;
    await nextFile.write(0, Buffer.alloc(firstRecordOffset));
    await nextFile.write(0, encodeRecord(nextGeneration, 0, ringHeader));
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
 * Opens a ring over its files and recovers every synced record. Everything recovered is durable. Files of an
 * interrupted rotation are cleared; all other files are left unchanged. Fails with `damaged-disk` if synced content is
 * missing or invalid, and with `disk-refusal` if the disk fails.
 */
export const openDiskRing = async (files: readonly RingFile[]): Promise<Either<TypedError, DiskRing>> => {
  const read = await readFiles(files);
  const found = read.chain(newestWholeFile);
  if (found.isLeft()) return Left(found.extract());
  const newestFile = found.orDefault(undefined);
  const interruptedFiles = read.orDefault([]).filter(isInterrupted);
  const durable = await makeDurable(newestFile, interruptedFiles);
  return durable.map(() => createRing(files, newestFile, interruptedFiles));
};
