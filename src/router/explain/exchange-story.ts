import type { Micros } from '../../common/micros.js';

/** One thing that happened to an exchange. */
export type StoryStep = {
  readonly at: Micros;
  readonly what: string;
  readonly facts: object;
};

/** Why an exchange went where it went, step by step. */
export type ExchangeStory = {
  readonly exchange: string;
  readonly kind: string;
  readonly tier: string;
  readonly service: string;
  readonly setupRevision: number;
  readonly listVersion: number;
  readonly steps: readonly StoryStep[];
};
