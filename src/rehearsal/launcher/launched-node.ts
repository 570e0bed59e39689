import type { RehearsedNode } from '../stand-in/platform.js';

/** A process of the system under rehearsal, and what can be done to it. */
export type LaunchedNode = RehearsedNode & {
  readonly start: () => void;
  readonly kill: () => Promise<void>;
  readonly terminate: () => Promise<number | null>;
  readonly freeze: () => void;
  readonly wake: () => void;
  readonly loseDisk: () => void;
  readonly isRunning: () => boolean;
  readonly partners: string;
  readonly data: string | undefined;
};
