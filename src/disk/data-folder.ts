/** A file of a data folder. */
export type DataFile = {
  /** All of its bytes. */
  readonly read: () => Promise<Buffer>;
  /** Writes all bytes, or fails. */
  readonly write: (offset: number, bytes: Uint8Array) => Promise<void>;
  readonly sync: () => Promise<void>;
  readonly close: () => Promise<void>;
};

/**
 * The folder of a process's data. A file that was made survives a loss of power only once the folder was synced, whatever
 * was synced of the file itself.
 */
export type DataFolder = {
  /** Makes the folder where it is missing. */
  readonly make: () => Promise<void>;
  /** The sizes of its files, by name. */
  readonly sizes: () => Promise<ReadonlyMap<string, number>>;
  /** Opens a file that is there. */
  readonly open: (name: string) => Promise<DataFile>;
  /** Makes a file, or empties it. */
  readonly create: (name: string) => Promise<DataFile>;
  readonly sync: () => Promise<void>;
  /** The path of a file, for errors. */
  readonly pathOf: (name: string) => string;
};
