/** A priority tier. The order of the tiers is their priority; the first is served before all others. */
export type Tier = {
  readonly name: string;
  /** The amount that one exchange of this tier adds to the hotness of its prompt prefix. */
  readonly weight: number;
  /** The fraction of a router's slots that this tier and those above it may occupy; above 0 and at most 1. */
  readonly share: number;
};
