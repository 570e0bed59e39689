/** The kinds of change of a ring. */
export type MigrationType = 'join' | 'leave' | 'rebalance';
