import type { DeliveryError } from '../../decision/machine/event/delivery-error.js';

/** How a try ended. */
export type DeliveryEnd =
  /** `rest` tells whether the link is clean for another exchange. */
  | { readonly type: 'done'; readonly rest: Promise<boolean> }
  | { readonly type: 'gone' }
  | { readonly type: 'failed'; readonly error: DeliveryError; readonly message: string; readonly notRun?: boolean };
