/** The platform's state of a server. Within one incarnation it only advances, from left to right. */
export type ServerState = 'up' | 'leaving' | 'gone';

/** Position of a state in that order, from 1. */
export const rankOfState = (state: ServerState): number => ['up', 'leaving', 'gone'].indexOf(state) + 1;
