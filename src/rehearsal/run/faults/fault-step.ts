import type { RehearsalParts } from '../rehearsal-parts.js';

/** One fault against real processes, brought and ended. */
export type FaultStep = (parts: RehearsalParts) => Promise<void>;
