/** An open file of a data folder. */
export type DataFile = {
  /** Reads the whole file. */
  readonly read: () => Promise<Buffer>;
  /** Writes all of the bytes at the offset; rejects if that fails, possibly after a partial write. */
  readonly write: (offset: number, bytes: Uint8Array) => Promise<void>;
  /** Makes the writes so far durable. */
  readonly sync: () => Promise<void>;
  readonly close: () => Promise<void>;
};

/**
 * The data folder of a process. A new file survives a power failure only after the folder itself has been synced, even
 * if the contents of the file were synced before.
 */
export type DataFolder = {
  /** Creates the folder, and its missing parents, unless it exists. */
  readonly make: () => Promise<void>;
  /** The file sizes in bytes, by file name. */
  readonly sizes: () => Promise<ReadonlyMap<string, number>>;
  /** Opens an existing file for reading and writing. */
  readonly open: (name: string) => Promise<DataFile>;
  /** Creates a file, or truncates an existing one. */
  readonly create: (name: string) => Promise<DataFile>;
  /** Makes created files durable as entries of the folder. */
  readonly sync: () => Promise<void>;
  /** The path of a file, for error messages. */
  readonly pathOf: (name: string) => string;
};
