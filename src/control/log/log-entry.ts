import type { Command } from './command.js';

/** One entry of the replicated log. */
export type LogEntry = {
  readonly index: number;
  readonly term: number;
  readonly command: Command;
};
