/** How callers use one kind. */
export type KindTraffic = {
  readonly kind: string;
  readonly share: number;
  readonly runsOnce: boolean;
  readonly isModel: boolean;
  readonly openings: number;
  readonly openingBytes: number;
  readonly pieces: number;
};
