import type { Micros } from '../../common/micros.js';
import type { Command } from '../log/command.js';
import type { ApplyResult } from './apply-result.js';
import { applyClaim, applyRelease } from './claims.js';
import { applyCancel, applySetup } from './setup-proposals.js';
import type { ReplicatedState } from './replicated-state.js';
import { applyRestore } from './restore.js';

/** Advances the replicated clock. It never goes back, whichever node's clock a command was stamped with. */
const advanceClock = (state: ReplicatedState, atUs: Micros): ReplicatedState => ({
  ...state,
  clockUs: Math.max(state.clockUs, atUs),
});

/** Applies one command. The result depends on the state and the command only, so all replicas agree. */
export const applyCommand = (state: ReplicatedState, command: Command): ApplyResult => {
  switch (command.type) {
    case 'start-term':
    case 'members':
      return { state, outcome: { type: 'done' } };
    case 'setup':
      return applySetup(advanceClock(state, command.atUs), command);
    case 'void':
      return applyCancel(state, command.proposal);
    case 'restore':
      return applyRestore(state, command);
    case 'claim':
      return applyClaim(advanceClock(state, command.atUs), command);
    case 'release':
      return applyRelease(advanceClock(state, command.atUs), command);
  }
};
