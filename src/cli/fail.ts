import type { TypedError } from '../common/typed-error.js';

/** Prints an error as JSON on stderr and sets the exit code to 1; the process continues. */
export const reportError = (error: TypedError): void => {
  process.stderr.write(`${JSON.stringify({ error })}\n`);
  process.exitCode = 1;
};

/** Prints a value as indented JSON on stdout. */
export const printJson = (value: unknown): void => {
  process.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
};
