/** The changes of a ring; each is a migration. */
export type MigrationType = 'join' | 'leave' | 'rebalance';
