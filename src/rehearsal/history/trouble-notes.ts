import type { Micros } from '../../common/micros.js';
import type { History } from './history.js';
import type { OutageType } from './outage-type.js';

/** Writes down what is done to the world, as it is done. */
export type TroubleNotes = {
  readonly cut: (from: string, to: string) => void;
  readonly heal: () => void;
  readonly hit: (type: 'begins' | 'ends', who: string, what: OutageType) => void;
};

export const openTroubleNotes = ({ troubles }: Pick<History, 'troubles'>, now: () => Micros): TroubleNotes => ({
  cut: (from, to) => void troubles.push({ type: 'cut', atUs: now(), from, to }),
  heal: () => void troubles.push({ type: 'heal', atUs: now() }),
  hit: (type, who, what) => void troubles.push({ type, atUs: now(), who, what }),
});
