/** How callers of a virtual fleet use one kind. */
export type SimKind = {
  readonly kind: string;
  readonly share: number;
  readonly pieces: number;
  readonly openings: number;
  readonly once: boolean;
};

export const usualKinds: readonly SimKind[] = [
  { kind: 'question', share: 0.45, pieces: 4, openings: 40, once: false },
  { kind: 'summary', share: 0.25, pieces: 10, openings: 40, once: true },
  { kind: 'draft', share: 0.15, pieces: 40, openings: 20, once: false },
  { kind: 'check', share: 0.15, pieces: 0, openings: 0, once: false },
];

/** The usual ones, and streams of about four, seven and eleven seconds. */
export const longKinds: readonly SimKind[] = [
  { kind: 'question', share: 0.4, pieces: 4, openings: 40, once: false },
  { kind: 'summary', share: 0.2, pieces: 10, openings: 40, once: true },
  { kind: 'summary', share: 0.08, pieces: 100, openings: 20, once: true },
  { kind: 'summary', share: 0.06, pieces: 170, openings: 20, once: true },
  { kind: 'draft', share: 0.08, pieces: 170, openings: 20, once: false },
  { kind: 'draft', share: 0.03, pieces: 275, openings: 20, once: false },
  { kind: 'check', share: 0.15, pieces: 0, openings: 0, once: false },
];
