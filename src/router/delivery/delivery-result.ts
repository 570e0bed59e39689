import type { DeliveryError } from '../../decision/machine/event/delivery-error.js';

/** The result of one attempt at one server. */
export type DeliveryResult =
  /** `rest` resolves to whether the connection can be reused for another exchange. */
  | { readonly type: 'done'; readonly rest: Promise<boolean> }
  /** The client has disconnected, or the attempt was cancelled. */
  | { readonly type: 'gone' }
  /** `notRun`: the server confirmed that it did not run the exchange. */
  | { readonly type: 'failed'; readonly error: DeliveryError; readonly message: string; readonly notRun?: boolean };
