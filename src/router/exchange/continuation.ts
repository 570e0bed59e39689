import type { Access } from '../access/access.js';
import type { OpaqueExchange } from '../opaque/opaque-exchange.js';
import type { ReceiptHead } from '../opaque/receipt-head.js';
import type { Micros } from '../../common/micros.js';
import type { Rule } from '../../setup/document/rule.js';
import type { CallerLink } from '../delivery/caller-link.js';
import type { WatchedCaller } from '../promises/watched-caller.js';
import type { Ticket } from '../slab/ticket.js';
import type { ExchangeBody } from './exchange-body.js';
import type { QuotaHold } from './quota-hold.js';
import type { RunningTry } from './running-try.js';

/** All that is needed to go on with an exchange when word of it comes. */
export type Continuation = {
  readonly ticket: Ticket;
  readonly exchange: string;
  readonly rule: Rule;
  readonly isModel: boolean;
  /** The API key that it came with, and whom that key was found to belong to. */
  readonly apiKey: string | undefined;
  readonly access: Access;
  readonly quota: QuotaHold;
  readonly body: ExchangeBody;
  readonly opaque: OpaqueExchange | undefined;
  readonly dueUs: Micros;
  readonly caller: CallerLink;
  /** What looks at the answer and the tries of this exchange. */
  readonly watch: WatchedCaller;
  /** The key that was claimed for it, if any. */
  readonly claimedKey: string | undefined;
  /** `dueUs` is when the running try counts as silent unless its next piece has come. */
  readonly stream: {
    pieces: number;
    running: RunningTry | undefined;
    dueUs: Micros;
    /** The number of the last piece that was given on, where pieces bear numbers of their own. */
    lastPiece: number | undefined;
    /** The last whole receipt of a server that was no success. */
    refusal: { readonly head: ReceiptHead; readonly body: Uint8Array } | undefined;
  };
};
