/** Load limits of a router and of its servers. */
export type Pressure = {
  /** The load of a server relative to an even share, above which prompt prefixes spill over to other servers. */
  readonly factor: number;
  /** A server with fewer exchanges of one router than this never spills over. */
  readonly floor: number;
  /** The maximum number of concurrent exchanges of one router. */
  readonly slots: number;
};
