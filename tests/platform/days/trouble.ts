/** The two lists of a day: planned work, and everything else. */
export type TroubleList = 'plan' | 'faults';

/** What a trouble is, without the time at which it begins; the names are those of the day files. */
export type TroubleFields = {
  readonly for_s?: number;
  readonly gap_s?: number;
  readonly share?: number;
  readonly count?: number;
  readonly x?: number;
  readonly how?: string;
  readonly on?: string;
  readonly service?: string;
  readonly class?: string;
};

/** One entry of a day: a trouble of one kind that begins `at` seconds after the traffic. */
export type Trouble = TroubleFields & {
  readonly at: number;
  readonly kind: string;
};

/** The fault that ends a day, right after one more change. */
export type Closing = {
  readonly kind: string;
  readonly down_s: number;
  readonly how?: string;
};

/** One day as it stands in a day file. */
export type Day = {
  readonly name: string;
  readonly seed: number;
  readonly length_s: number;
  readonly closing?: Closing;
  readonly plan: readonly Trouble[];
  readonly faults: readonly Trouble[];
};
