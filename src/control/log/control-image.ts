import type { Member } from '../members/member.js';
import type { ControlState } from '../state/control-state.js';

/** The folded log up to an index. */
export type ControlImage = {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
  readonly state: ControlState;
};
