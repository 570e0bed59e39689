import type { Micros } from '../../common/micros.js';
import type { Command } from '../log/command.js';
import type { ControlMessage } from './message.js';

/** What the control machine hears. `chance` is drawn outside, from 0 up to 1. */
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
  /** Where core machines are now, by the settings and the spread. */
  | {
      readonly type: 'known';
      readonly at: Micros;
      readonly seeds: readonly string[];
      readonly addresses: readonly string[];
    }
  | { readonly type: 'resign'; readonly at: Micros; readonly chance: number };
