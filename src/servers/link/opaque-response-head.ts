import type { ServerLoad } from '../../decision/health/server-load.js';
import type { ResponseHead } from '../../router/opaque/response-head.js';

/** The head of a server's response to an opaque exchange, and what its headers state about the exchange. */
export type OpaqueResponseHead = ResponseHead & {
  /** False only if the server states that the exchange did not run and never will, so that it can be retried safely. */
  readonly ran: boolean;
  /** Whether the response carries the server's seal header; a success without it is rejected. */
  readonly sealed: boolean;
  /** Whether the body is a stream of server-sent events. */
  readonly isEventStream: boolean;
  /** The server's load, if the response reports it. */
  readonly load?: ServerLoad;
};
