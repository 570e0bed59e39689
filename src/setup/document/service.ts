import type { ServiceType } from './service-type.js';

/** A group of interchangeable servers to which exchanges are routed. */
export type Service = {
  readonly name: string;
  readonly type: ServiceType;
  /** The maximum number of connections from the whole fleet that one server accepts. */
  readonly mostLinks?: number;
  /** The concurrency of one server, and the tokens that fit into its memory, in use or cached. */
  readonly engine?: { readonly slots: number; readonly memoryTokens: number };
};
