import type { Micros } from '../../common/micros.js';
import type { Command } from '../log/command.js';
import type { ControlMessage } from './message.js';

/**
 * The input of the control state machine. `chance` is a uniform random number in [0, 1) that the caller draws, so that
 * a step depends on its arguments only.
 */
export type ControlEvent =
  | { readonly type: 'tick'; readonly at: Micros; readonly chance: number }
  | {
      readonly type: 'message';
      readonly at: Micros;
      readonly chance: number;
      readonly from: string;
      readonly message: ControlMessage;
    }
  | { readonly type: 'propose'; readonly at: Micros; readonly requestId: string; readonly command: Command }
  | { readonly type: 'read'; readonly at: Micros; readonly requestId: string; readonly proposal?: string }
  /** The addresses of control nodes, by the settings (`seeds`) and by the gossip of the fleet (`addresses`). */
  | {
      readonly type: 'known';
      readonly at: Micros;
      readonly seeds: readonly string[];
      readonly addresses: readonly string[];
    }
  /** The process is about to stop: a leader transfers its leadership, a voter announces that it leaves. */
  | { readonly type: 'resign'; readonly at: Micros; readonly chance: number };
