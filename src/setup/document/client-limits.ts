import type { Micros } from '../../common/micros.js';

/** Limits on the HTTP requests of clients. */
export type ClientLimits = {
  readonly headBytes: number;
  readonly bodyBytes: number;
  /** The timeout for receiving the request header. */
  readonly headUs: Micros;
  /** The timeout of an idle connection. */
  readonly idleUs: Micros;
};
