import type { Counters } from './counters.js';
import type { Log } from './log.js';

/** Exceptions that no handler has caught, and unhandled rejections of promises. */
export type UnexpectedExceptions = {
  /** Resolves at the first exception. */
  readonly first: Promise<void>;
  readonly count: () => number;
  readonly close: () => void;
};

/** Keeps a recurring exception from flooding the log. */
const maxLogLines = 10;

const stackOf = (thrown: unknown): string =>
  thrown instanceof Error ? (thrown.stack ?? thrown.message) : String(thrown);

/**
 * Counts each unexpected exception, logs it with its stack and the state of the process, and prevents Node from exiting at once. The
 * user must shut the process down gracefully at the first one, since an unknown part of the work is left undone.
 */
export const watchUnexpectedExceptions = (
  log: Log,
  counters: Counters,
  state: () => Readonly<Record<string, unknown>>,
): UnexpectedExceptions => {
  let count = 0;
  let resolveFirst = (): void => undefined;
  const first = new Promise<void>((resolve) => {
    resolveFirst = resolve;
  });
  const handle = (thrown: unknown, origin: string): void => {
    count += 1;
    counters.count('exceptions.unexpected');
    if (count <= maxLogLines) log.change('unexpected exception', { origin, stack: stackOf(thrown), ...state() });
    resolveFirst();
  };
  process.on('uncaughtException', handle);
  return { first, count: () => count, close: () => void process.off('uncaughtException', handle) };
};
