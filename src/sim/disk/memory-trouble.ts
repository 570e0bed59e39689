/** What a disk in memory does to its user. */
export type MemoryTrouble = {
  /** How long a sync takes. */
  readonly untilSynced: () => Promise<void>;
  /** Whether writes fail, as on a full disk. */
  readonly fails: boolean;
};

export const quietMemory: MemoryTrouble = { untilSynced: () => Promise.resolve(), fails: false };
