/** One machine of the core. Its identity lives and dies with its disk. */
export type Member = {
  readonly identity: string;
  readonly address: string;
  readonly voter: boolean;
};
