/** The try of an exchange that runs now. */
export type RunningTry = {
  readonly attempt: number;
  readonly cancel: () => void;
};
