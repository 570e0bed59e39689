/** A rule of the brief that a history breaks. */
export type Finding = {
  readonly rule: string;
  readonly detail: string;
};
