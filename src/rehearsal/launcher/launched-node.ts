import type { DiskFault } from '../../disk/disk-fault.js';
import type { RehearsedNode } from '../stand-in/platform.js';

/** Where a process is reached, and where it listens behind the relay that can cut its links. */
export type NodeAddresses = {
  readonly http: string;
  readonly partners: string;
  readonly partnersListen: string;
};

/** A process of the system under rehearsal, and what can be done to it. */
export type LaunchedNode = RehearsedNode & {
  readonly locality: string;
  readonly partners: string;
  /** Starts a life, unless one is running: two troubles may end in the same node's start. */
  readonly start: () => void;
  /** Where its lives write what they log. */
  readonly logPath: string;
  readonly kill: () => Promise<void>;
  readonly terminate: () => Promise<number | null>;
  /** Waits until the process has ended by itself. */
  readonly ended: () => Promise<number | null>;
  /** Tells a running process that its settings file has changed. */
  readonly reload: () => void;
  readonly freeze: () => void;
  readonly wake: () => void;
  readonly loseDisk: () => void;
  readonly troubleDisk: (trouble: DiskFault) => void;
  /** Gives the next life other addresses. */
  readonly move: (addresses: NodeAddresses) => void;
  /** Gives the next life other seeds. */
  readonly reseed: (seeds: readonly string[]) => void;
  readonly isRunning: () => boolean;
  /** The memory that its process has resident; none while it does not run. */
  readonly residentBytes: () => number;
  /** The signal or the exit code that its last life ended with; none while it runs. */
  readonly endedBy: () => string | undefined;
};
