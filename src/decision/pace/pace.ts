import type { Micros } from '../../common/micros.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Range } from '../ring/range.js';

/** When each range of a changing server may next take a prefill from this node. */
export type Pace = ReadonlyMap<PaceKey, Micros>;

/** A range at the server that takes it over. */
export type PaceKey = string;

export const paceKeyOf = (key: ServerKey, range: Range): PaceKey => `${key}|${range.upTo}`;

export const paceAllows = (pace: Pace, paceKey: PaceKey, atUs: Micros): boolean => (pace.get(paceKey) ?? 0) <= atUs;

/** Takes the range's next slot, and forgets slots that lie behind. */
export const paceTaken = (pace: Pace, paceKey: PaceKey, atUs: Micros, spanUs: Micros): Pace =>
  new Map([...[...pace].filter(([, freeUs]) => freeUs > atUs), [paceKey, atUs + spanUs]]);
