import type { Micros } from '../../common/micros.js';
import { typedError } from '../../common/typed-error.js';

/** The answer to requests that a stopping node has received, but not begun to run. */
export const stoppingError = typedError('draining', 'refused: this node stops, and the request did not run');

/** When their clients may come back, to another node. */
export const retryAfterUs: Micros = 1_000_000;
