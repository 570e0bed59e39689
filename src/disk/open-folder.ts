import { mkdir, open, readdir, stat } from 'node:fs/promises';
import { join } from 'node:path';
import { EitherAsync, Left } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import { openDiskRing, type DiskRing } from './disk-ring.js';
import { noTrouble, troubledFile, type DiskTrouble } from './disk-trouble.js';
import type { RingFile } from './ring-file.js';
import type { RingSizes } from './ring-sizes.js';

const zeroChunk = Buffer.alloc(1 << 20);

const syncFolder = async (folder: string): Promise<void> => {
  const folderHandle = await open(folder, 'r');
  await folderHandle.sync();
  await folderHandle.close();
};

const preallocated = async (path: string, size: number): Promise<void> => {
  const handle = await open(path, 'w');
  for (let offset = 0; offset < size; offset += zeroChunk.length)
    await handle.write(zeroChunk, 0, Math.min(zeroChunk.length, size - offset), offset);
  await handle.sync();
  await handle.close();
};

const openRingFile = async (path: string, size: number): Promise<RingFile> => {
  const handle = await open(path, 'r+');
  return {
    name: path,
    size,
    read: async () => {
      const bytes = Buffer.alloc(size);
      await handle.read(bytes, 0, size, 0);
      return bytes;
    },
    write: async (offset, bytes) => {
      await handle.write(bytes, 0, bytes.length, offset);
    },
    sync: () => handle.datasync(),
    close: () => handle.close(),
  };
};

const readyMark = 'ring.ready';

/**
 * Opens the ring in a data folder, making its files first where the folder is new. The mark file is
 * written last, so a folder whose making was cut short is made again, and a missing file is damage.
 */
export const openRingFolder = (
  folder: string,
  sizes: RingSizes,
  trouble: () => DiskTrouble = () => noTrouble,
): EitherAsync<TypedError, DiskRing> =>
  EitherAsync(async ({ throwE, fromPromise }) => {
    const paths = Array.from({ length: sizes.files }, (_, index) => join(folder, `ring-${index}.bin`));
    const files: RingFile[] = [];
    let damage: TypedError | undefined;
    try {
      await mkdir(folder, { recursive: true });
      const presentNames = new Set(await readdir(folder));
      if (!presentNames.has(readyMark)) {
        for (const path of paths) await preallocated(path, sizes.fileBytes);
        const markHandle = await open(join(folder, readyMark), 'w');
        await markHandle.sync();
        await markHandle.close();
        await syncFolder(folder);
      }
      for (const path of paths) {
        const size = await stat(path).then(
          (found) => found.size,
          () => 0,
        );
        if (size !== sizes.fileBytes)
          damage = typedError('damaged-disk', `${path} has ${size} bytes and should have ${sizes.fileBytes}`);
        else files.push(troubledFile(await openRingFile(path, sizes.fileBytes), trouble));
      }
    } catch (thrown) {
      return throwE(typedError('disk-error', messageOf(thrown)));
    }
    const ring = damage === undefined ? await openDiskRing(files) : Left<TypedError, DiskRing>(damage);
    if (ring.isLeft()) for (const file of files) await file.close();
    return fromPromise(Promise.resolve(ring));
  });
