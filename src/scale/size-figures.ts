import type { Micros } from '../common/micros.js';

/** What was measured with one number of nodes. */
export type SizeFigures = {
  readonly nodes: number;
  readonly hollow: number;
  readonly processes: number;
  /** For each hollow node and second of the quiet span, as sent. */
  readonly framesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly bytesPerSecondByKind: Readonly<Record<string, number>>;
  readonly coreShare: number;
  /** A hollow process's memory, shared out. */
  readonly memoryBytes: number;
  /** The real processes, each. */
  readonly real: readonly {
    readonly node: string;
    readonly role: string;
    readonly coreShare: number;
    readonly memoryBytes: number;
    readonly partners: number;
  }[];
  readonly acquaintedUs: Micros | undefined;
  readonly setupUs: Micros | undefined;
  readonly leavingUs: Micros | undefined;
  readonly lostUs: Micros | undefined;
};
