/** An opaque exchange on its way over a link. */
export type Carriage = {
  readonly pause: () => void;
  readonly resume: () => void;
  /** Ends it together with its link. */
  readonly cancel: () => void;
};
