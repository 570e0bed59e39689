import type { Frame } from '../../spread/frame/frame.js';
import type { FrameEnvelope } from '../../spread/link/instance-fence.js';

/** Hears a frame; one that a test puts in by hand has no envelope and passes no fence. */
export type SimPort = (from: string, frame: Frame, envelope?: FrameEnvelope) => void;

/** Who listens for partners' frames at which address. */
export type SimPorts = Map<string, SimPort>;
