import type { ServiceType } from './service-type.js';

/** A service that exchanges may be delivered to. */
export type Service = {
  readonly name: string;
  readonly type: ServiceType;
  /** The most links that one of its servers takes from the whole fleet. */
  readonly mostLinks?: number;
  /** What one of its servers works on at once, and the tokens that it keeps, running or remembered. */
  readonly engine?: { readonly slots: number; readonly memoryTokens: number };
};
