/** A priority tier. Tiers stand in order: the first is served before all others. */
export type Tier = {
  readonly name: string;
  /** How much one exchange of this tier adds to the hotness of its opening. */
  readonly weight: number;
  /** The part of a node's slots that this tier and those above it may fill, above 0 and at most 1. */
  readonly share: number;
};
