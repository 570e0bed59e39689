/** Controls an opaque exchange that is in flight on a link. */
export type ForwardHandle = {
  /** Backpressure: stops reading the response until `resume`. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Aborts the exchange and closes its link. */
  readonly cancel: () => void;
};
