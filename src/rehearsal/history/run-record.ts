import type { Micros } from '../../common/micros.js';

/** One start of work in the history of a server. */
export type RunRecord = {
  readonly server: string;
  readonly incarnation: string;
  readonly ownService: string;
  readonly askedService: string;
  readonly call: string;
  readonly work: string;
  readonly kind: string;
  readonly exchange: string;
  readonly fromPiece: number;
  /** The name of its opening. */
  readonly opening: string;
  readonly atUs: Micros;
};
