/** The identity of a process on its links, sent in the introduction of each connection that it opens. */
export type LinkIdentity = {
  /** Where peers reach the process; a restarted process has the same address. */
  readonly address: string;
  /** The instance ID: twelve random hexadecimal digits per start, to distinguish processes at the same address. */
  readonly life: string;
  /** The name of the fleet; frames of other fleets are dropped. */
  readonly fleet: string;
};

/** The fleet name of a process without one in its settings. */
export const defaultFleet = 'ledgehill';
