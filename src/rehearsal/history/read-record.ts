import type { Micros } from '../../common/micros.js';

/** One reading of the newest setup in the history of an operator. */
export type ReadRecord = {
  readonly askedUs: Micros;
  readonly toldUs: Micros;
  /** 0 when there was none yet. */
  readonly revision: number;
  /** Of the setup as it was read, made by the reader. */
  readonly digest: string | undefined;
};
