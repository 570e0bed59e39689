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

/** Writes all of the bytes; a single write call may be partial, for example when the disk fills up. */
const writeAll = async (handle: FileHandle, offset: number, bytes: Uint8Array): Promise<void> => {
  let written = 0;
  while (written < bytes.length) {
    const { bytesWritten } = await handle.write(bytes, written, bytes.length - written, offset + written);
    if (bytesWritten === 0) throw new Error('write failed: the disk accepted 0 bytes');
    written += bytesWritten;
  }
};

/** Reads all of the bytes; a single read call may be partial. */
const readAll = async (handle: FileHandle): Promise<Buffer> => {
  const { size } = await handle.stat();
  const bytes = Buffer.alloc(size);
  let read = 0;
  while (read < size) {
    const { bytesRead } = await handle.read(bytes, read, size - read, read);
    if (bytesRead === 0) throw new Error(`read failed: end of file after ${read} of ${size} bytes`);
    read += bytesRead;
  }
  return bytes;
};

const dataFileOver = (handle: FileHandle): DataFile => ({
  read: () => readAll(handle),
  write: (offset, bytes) => writeAll(handle, offset, bytes),
  sync: () => handle.datasync(),
  close: () => handle.close(),
});

/** Creates a folder and its missing parents, and syncs the parent of each so that the new entry is durable. */
const makeFolder = async (path: string): Promise<void> => {
  const firstCreated = await mkdir(path, { recursive: true });
  if (firstCreated === undefined) return;
  for (let created = path; created.length >= firstCreated.length; created = dirname(created))
    await syncFolder(dirname(created));
};

const sizesIn = async (path: string): Promise<ReadonlyMap<string, number>> => {
  const sizes = new Map<string, number>();
  for (const name of await readdir(path)) sizes.set(name, (await stat(join(path, name))).size);
  return sizes;
};

/** A data folder in the local file system. */
export const localFolder = (path: string): DataFolder => ({
  make: () => makeFolder(path),
  sizes: () => sizesIn(path),
  open: async (name) => dataFileOver(await open(join(path, name), 'r+')),
  create: async (name) => dataFileOver(await open(join(path, name), 'w')),
  sync: () => syncFolder(path),
  pathOf: (name) => join(path, name),
});
