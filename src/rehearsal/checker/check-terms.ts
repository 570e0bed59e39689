import type { Micros } from '../../common/micros.js';

/** Under which terms a history is judged. */
export type CheckTerms = {
  readonly plannedOnly: boolean;
  readonly troubleEndUs: Micros;
  readonly onceKinds: ReadonlySet<string>;
  readonly resumableKinds: ReadonlySet<string>;
  readonly serviceOf: (kind: string) => string;
};
