/** What the platform says of a server; within one life it only goes on, from left to right. */
export type ServerState = 'up' | 'leaving' | 'gone';

/** How far a state is on its way. */
export const rankOfState = (state: ServerState): number => ['up', 'leaving', 'gone'].indexOf(state) + 1;
