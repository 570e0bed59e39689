import type { Frame } from '../../spread/frame/frame.js';

/** Who listens for partners' frames at which address. */
export type SimPorts = Map<string, (from: string, frame: Frame) => void>;
