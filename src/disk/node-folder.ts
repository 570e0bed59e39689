import { mkdir, open, readdir, stat, type FileHandle } from 'node:fs/promises';
import { dirname, join } from 'node:path';
import type { DataFile, DataFolder } from './data-folder.js';

const syncFolder = async (path: string): Promise<void> => {
  const handle = await open(path, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** One call may write less than it is given, as on a disk that fills up. */
const writeWhole = async (handle: FileHandle, offset: number, bytes: Uint8Array): Promise<void> => {
  let written = 0;
  while (written < bytes.length) {
    const { bytesWritten } = await handle.write(bytes, written, bytes.length - written, offset + written);
    if (bytesWritten === 0) throw new Error('the disk takes no more bytes');
    written += bytesWritten;
  }
};

/** One call may read less than is there. */
const readWhole = async (handle: FileHandle): Promise<Buffer> => {
  const { size } = await handle.stat();
  const bytes = Buffer.alloc(size);
  let read = 0;
  while (read < size) {
    const { bytesRead } = await handle.read(bytes, read, size - read, read);
    if (bytesRead === 0) throw new Error(`the file ends after ${read} of ${size} bytes`);
    read += bytesRead;
  }
  return bytes;
};

const dataFileOver = (handle: FileHandle): DataFile => ({
  read: () => readWhole(handle),
  write: (offset, bytes) => writeWhole(handle, offset, bytes),
  sync: () => handle.datasync(),
  close: () => handle.close(),
});

/** Makes a folder and those above it that are missing, each synced into its parent. */
const makeFolder = async (path: string): Promise<void> => {
  const firstMade = await mkdir(path, { recursive: true });
  if (firstMade === undefined) return;
  for (let made = path; made.length >= firstMade.length; made = dirname(made)) await syncFolder(dirname(made));
};

const sizesIn = async (path: string): Promise<ReadonlyMap<string, number>> => {
  const sizes = new Map<string, number>();
  for (const name of await readdir(path)) sizes.set(name, (await stat(join(path, name))).size);
  return sizes;
};

/** The folder at a path of this machine. */
export const nodeFolder = (path: string): DataFolder => ({
  make: () => makeFolder(path),
  sizes: () => sizesIn(path),
  open: async (name) => dataFileOver(await open(join(path, name), 'r+')),
  create: async (name) => dataFileOver(await open(join(path, name), 'w')),
  sync: () => syncFolder(path),
  pathOf: (name) => join(path, name),
});
