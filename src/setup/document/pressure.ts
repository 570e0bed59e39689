/** The bounds of pressure on a node and on its servers. */
export type Pressure = {
  /** How far above the even share a server may be pressed before openings spill. */
  readonly factor: number;
  /** A server below this many exchanges of one node never spills. */
  readonly floor: number;
  /** The exchanges that one node holds at once. */
  readonly slots: number;
};
