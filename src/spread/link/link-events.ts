import type { Frame } from '../frame/frame.js';
import type { DropCause } from './instance-fence.js';

/** Events of the links of one process. */
export type LinkEvents = {
  readonly frame: [from: string, frame: Frame];
  /** A malformed greeting, introduction or frame was received. */
  readonly badFrame: [];
  /** A frame was dropped: its sender or receiver is an earlier process instance, or it is from another fleet. */
  readonly dropped: [cause: DropCause, from: string];
};
