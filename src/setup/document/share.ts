/** The part of a rule's exchanges that goes to one service. */
export type Share = {
  readonly service: string;
  readonly weight: number;
};
