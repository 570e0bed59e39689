import type { Frame } from '../frame/frame.js';
import type { DropCause } from './life-fence.js';

/** What the links tell. */
export type LinkEvents = {
  readonly frame: [from: string, frame: Frame];
  readonly badFrame: [];
  /** A frame was not taken, since another process than its sender or its receiver has that address now. */
  readonly dropped: [cause: DropCause, from: string];
};
