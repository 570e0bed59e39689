import type { Fault } from './fault.js';
import type { ErrorType } from './error-type.js';

/** Every error of the system: a type that programs read, a message that people read. */
export type TypedError = {
  readonly type: ErrorType;
  readonly message: string;
  readonly faults?: readonly Fault[];
};

export const typedError = (type: ErrorType, message: string, faults?: readonly Fault[]): TypedError =>
  faults === undefined ? { type, message } : { type, message, faults };

/** What a thrown value says of itself. */
export const messageOf = (thrown: unknown): string => (thrown instanceof Error ? thrown.message : String(thrown));
