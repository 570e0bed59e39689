/** The share of a rule's exchanges that is routed to one service, relative to the sum of all weights. */
export type Share = {
  readonly service: string;
  readonly weight: number;
};
