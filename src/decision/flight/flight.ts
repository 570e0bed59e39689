import type { ServerKey } from '../../servers/list/server-key.js';
import type { Prefix } from '../ring/prefix.js';

/**
 * A prefill in progress, shared by single flight: the leader was sent to the server, the followers with the same prefix
 * wait for the leader's first piece.
 */
export type Flight = {
  readonly leader: string;
  readonly followers: readonly string[];
};

/** Server and prefix of a flight. */
export type FlightKey = string;

export const flightKeyOf = (key: ServerKey, prefix: Prefix): FlightKey => `${key}|${prefix}`;
