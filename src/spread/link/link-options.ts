/** Optional settings of the links of a process. */
export type LinkOptions = {
  /** Where the process listens, if that is not the address that peers dial, as behind address translation. */
  readonly listenAddress?: string;
  /** The name of the fleet that the process belongs to. */
  readonly fleet?: string;
};
