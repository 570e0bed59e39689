import type { Prefix } from '../ring/prefix.js';

/** The work of an exchange at a server, in tokens. */
export type Work = {
  /** The shared prefixes of its prompt from short to long, each with its length in tokens. */
  readonly levels: readonly { readonly prefix: Prefix; readonly tokens: number }[];
  /** Tokens to prefill at a server that has none of them cached. */
  readonly readTokens: number;
  /** Tokens to decode. */
  readonly writeTokens: number;
};
