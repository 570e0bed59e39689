/** What the links of a process may be told beside its address. */
export type LinkOptions = {
  /** Where the process listens, if an address translation stands before it. */
  readonly listenAddress?: string;
  /** The name of the fleet that it belongs to. */
  readonly fleet?: string;
};
