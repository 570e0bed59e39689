import type { EventEmitter } from 'node:events';
import type { Frame } from '../frame/frame.js';
import type { LinkEvents } from './link-events.js';

/** The links to all partners: one way each, a frame at a time. */
export type PartnerLinks = {
  readonly events: EventEmitter<LinkEvents>;
  readonly listen: () => Promise<void>;
  readonly send: (address: string, frame: Frame) => void;
  readonly close: () => void;
};
