import type { Micros } from '../../common/micros.js';

/** What a node knows of who asks the platform, all moments on its steady clock. */
export type SourceView = {
  readonly key: string;
  /** By how much later than the first this node takes over. */
  readonly rankUs: Micros;
  readonly spanUs: Micros;
  readonly atUs: Micros;
  /** Since when it has been waiting for a first reading. */
  readonly sinceUs: Micros;
  /** When the freshest reading that it knows began. */
  readonly freshUs: Micros | undefined;
  /** Whether it is the one that asks. */
  readonly isAsker: boolean;
  /** When the reading that is under way began. */
  readonly askedUs: Micros | undefined;
  readonly notBeforeUs: Micros;
  readonly errors: number;
};
