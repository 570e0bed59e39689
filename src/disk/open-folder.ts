import { EitherAsync, Left, Right, type Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { DataFile, DataFolder } from './data-folder.js';
import { openDiskRing, type DiskRing } from './disk-ring.js';
import { noDiskFault, withDiskFault, type DiskFault } from './disk-fault.js';
import { localFolder } from './local-folder.js';
import type { RingFile } from './ring-file.js';
import type { RingSizes } from './ring-sizes.js';

const zeroChunk = Buffer.alloc(1 << 20);

/** This file exists once all ring files have been created. */
const readyFileName = 'ring.ready';

const ringFileNames = ({ files }: RingSizes): readonly string[] =>
  Array.from({ length: files }, (_, index) => `ring-${index}.bin`);

/** Creates a file of zeros and syncs it, so that later writes need no new disk space. */
const preallocate = async (folder: DataFolder, name: string, size: number): Promise<void> => {
  const file = await folder.create(name);
  for (let offset = 0; offset < size; offset += zeroChunk.length)
    await file.write(offset, zeroChunk.subarray(0, Math.min(zeroChunk.length, size - offset)));
  await file.sync();
  await file.close();
};

/**
 * Creates the files of a ring, and then the mark file. The folder is synced in between, so that after a power failure
 * the mark never exists without all ring files.
 */
const makeFiles = async (folder: DataFolder, sizes: RingSizes): Promise<void> => {
  for (const name of ringFileNames(sizes)) await preallocate(folder, name, sizes.fileBytes);
  await folder.sync();
  const mark = await folder.create(readyFileName);
  await mark.sync();
  await mark.close();
};

const ringFileOver = (file: DataFile, name: string, size: number): RingFile => ({ ...file, name, size });

const closeAll = async (files: readonly RingFile[]): Promise<void> => {
  for (const file of files) await file.close();
};

/** Opens the files of a ring; fails with `damaged-disk` if one is missing or has another size. */
const openFiles = async (folder: DataFolder, sizes: RingSizes): Promise<Either<TypedError, readonly RingFile[]>> => {
  const found = await folder.sizes();
  const names = ringFileNames(sizes);
  const damagedName = names.find((name) => found.get(name) !== sizes.fileBytes);
  if (damagedName !== undefined)
    return Left(
      typedError(
        'damaged-disk',
        `${folder.pathOf(damagedName)} has ${found.get(damagedName) ?? 0} bytes, expected ${sizes.fileBytes}`,
      ),
    );
  const files: RingFile[] = [];
  try {
    for (const name of names) files.push(ringFileOver(await folder.open(name), folder.pathOf(name), sizes.fileBytes));
  } catch (thrown) {
    await closeAll(files);
    throw thrown;
  }
  return Right(files);
};

/**
 * Opens the ring in a data folder; creates its files first unless the mark shows that all of them exist. The folder is
 * synced at every start: a killed process may have left the mark unsynced, and if the mark were lost in a power
 * failure, the next start would overwrite the files.
 */
export const openRingIn = (
  folder: DataFolder,
  sizes: RingSizes,
  trouble: () => DiskFault = () => noDiskFault,
): EitherAsync<TypedError, DiskRing> =>
  EitherAsync(async ({ throwE, fromPromise }) => {
    let opened: Either<TypedError, readonly RingFile[]>;
    try {
      await folder.make();
      if (!(await folder.sizes()).has(readyFileName)) await makeFiles(folder, sizes);
      await folder.sync();
      opened = await openFiles(folder, sizes);
    } catch (thrown) {
      return throwE(typedError('disk-error', messageOf(thrown)));
    }
    const files = await fromPromise(Promise.resolve(opened));
    const ring = await openDiskRing(files.map((file) => withDiskFault(file, trouble)));
    if (ring.isLeft()) await closeAll(files);
    return fromPromise(Promise.resolve(ring));
  });

/** Opens the ring in a folder of the local file system; see `openRingIn`. */
export const openRingFolder = (
  path: string,
  sizes: RingSizes,
  trouble?: () => DiskFault,
): EitherAsync<TypedError, DiskRing> => openRingIn(localFolder(path), sizes, trouble);
