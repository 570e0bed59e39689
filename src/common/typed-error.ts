import type { Fault } from './fault.js';
import type { ErrorType } from './error-type.js';

/**
 * The form of every error that is returned as a value: a stable code, a readable message, and validation faults if any.
 */
export type TypedError = {
  readonly type: ErrorType;
  readonly message: string;
  readonly faults?: readonly Fault[];
};

export const typedError = (type: ErrorType, message: string, faults?: readonly Fault[]): TypedError =>
  faults === undefined ? { type, message } : { type, message, faults };

/** The message of a thrown value, which may be no Error. */
export const messageOf = (thrown: unknown): string => (thrown instanceof Error ? thrown.message : String(thrown));
