import type { Prefix } from '../ring/prefix.js';

/** What an exchange makes a server do, in tokens. */
export type Work = {
  /** The shared parts of its opening, each with all before it, and the tokens up to there. */
  readonly levels: readonly { readonly prefix: Prefix; readonly tokens: number }[];
  /** All tokens that a server that holds none of them has to read. */
  readonly readTokens: number;
  readonly writeTokens: number;
};
