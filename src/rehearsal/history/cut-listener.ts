import type { TroubleNotes } from './trouble-notes.js';

/** Hears what is cut from whom, and when all is healed. */
export type CutListener = Pick<TroubleNotes, 'cut' | 'heal'>;
