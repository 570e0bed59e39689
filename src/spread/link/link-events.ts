import type { Frame } from '../frame/frame.js';

/** What the links tell. */
export type LinkEvents = {
  readonly frame: [from: string, frame: Frame];
  readonly badFrame: [];
};
