/** Who speaks over the links of one process. */
export type LinkIdentity = {
  /** Where partners reach the process; a later process may have the same address. */
  readonly address: string;
  /** Drawn anew at each start, twelve hexadecimal digits: tells the processes apart that had the same address. */
  readonly life: string;
  /** The name of the fleet; processes of other fleets are not listened to. */
  readonly fleet: string;
};

/** The fleet of a process whose settings name none. */
export const defaultFleet = 'ledgehill';
