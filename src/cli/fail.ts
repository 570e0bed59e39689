import type { TypedError } from '../common/typed-error.js';

/** Ends a command with a typed error on stderr and a non-zero exit. */
export const fail = (error: TypedError): void => {
  process.stderr.write(`${JSON.stringify({ error })}\n`);
  process.exitCode = 1;
};

export const print = (value: unknown): void => {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
};
