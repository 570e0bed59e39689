/** What a disk in memory does to its user. */
export type MemoryTrouble = {
  /** How long a sync takes. `makesFile` says that it covers a write to the head of a file, as in a rotation. */
  readonly untilSynced: (makesFile: boolean) => Promise<void>;
  /** Whether writes fail, as on a full disk. */
  readonly fails: boolean;
};

export const quietMemory: MemoryTrouble = { untilSynced: () => Promise.resolve(), fails: false };
