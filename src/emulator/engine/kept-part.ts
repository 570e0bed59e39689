/** A part of prompts that the memory keeps. */
export type KeptPart = {
  readonly tokens: number;
  /** Runs that use it now; only what none uses may give way. */
  readonly users: number;
};
