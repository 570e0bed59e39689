import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { Rule } from '../../../setup/document/rule.js';
import type { FlightKey } from '../../flight/flight.js';
import type { Position } from '../../ring/position.js';
import type { Work } from '../../work/work.js';
import type { Prefix } from '../../ring/prefix.js';

/**
 * The state of one exchange: a client's request and its response, over all attempts at servers. At most one attempt runs at
 * a time.
 */
export type ExchangeView = {
  readonly exchange: string;
  readonly rule: Rule;
  readonly tierIndex: number;
  readonly prefix: Prefix;
  readonly position: Position;
  readonly work: Work | undefined;
  readonly arrivedUs: Micros;
  /** Estimates for the running attempt: tokens to prefill, and the wait before that at the server. */
  readonly estimate: { readonly tokens: number; readonly waitUs: Micros };
  /** The end of the time budget. */
  readonly dueUs: Micros;
  /** The number of the latest attempt, from 1; 0 before the first. */
  readonly attempt: number;
  /** All servers of its attempts, the running one included. */
  readonly triedServers: readonly ServerKey[];
  /** The server of the running attempt; undefined while held. */
  readonly server: ServerKey | undefined;
  /** When the latest attempt was decided. */
  readonly deliveredUs: Micros;
  /** Whether the running attempt has been sent. */
  readonly sent: boolean;
  /** Whether any piece has arrived. */
  readonly started: boolean;
  /** The next piece to deliver to the client. */
  readonly fromPiece: number;
  /** Whether the next attempt counts as a retry, since the exchange was sent to a server before. */
  readonly isNextRetry: boolean;
  /** Whether any attempt so far may have run. */
  readonly mayHaveRun: boolean;
  /** The number of servers that it was sent to. */
  readonly sentCount: number;
  /** The flight that it leads. */
  readonly leadsFlight: FlightKey | undefined;
  /** The flight that it waits for. */
  readonly followsFlight: FlightKey | undefined;
  /** The end of holding behind prefills; set by the first hold and never extended. */
  readonly holdUntilUs: Micros | undefined;
};
