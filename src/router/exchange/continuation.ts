import type { ServerResponse } from 'node:http';
import type { Rule } from '../../setup/document/rule.js';
import type { Ticket } from '../slab/ticket.js';
import type { ExchangeBody } from './exchange-body.js';
import type { RunningTry } from './running-try.js';

/** All that is needed to go on with an exchange when word of it comes. */
export type Continuation = {
  readonly ticket: Ticket;
  readonly exchange: string;
  readonly rule: Rule;
  readonly isModel: boolean;
  readonly body: ExchangeBody;
  readonly response: ServerResponse;
  /** The key that was claimed for it, if any. */
  readonly claimedKey: string | undefined;
  readonly stream: { pieces: number; running: RunningTry | undefined };
};
