import type { Setup } from '../setup/document/setup.js';

const second = 1_000_000;

/** A small setup for virtual worlds. */
export const sampleSetup = (name: string, routers = 1): Setup => ({
  name,
  fleet: { routers },
  services: [
    { name: 'model', type: 'model' },
    { name: 'status', type: 'web' },
  ],
  tiers: [
    { name: 'first', weight: 4, share: 1 },
    { name: 'second', weight: 1, share: 0.8 },
  ],
  rules: [
    {
      kind: 'question',
      service: 'model',
      tier: 'first',
      repeatable: true,
      resumable: true,
      budgetUs: 20 * second,
      firstPieceUs: 5 * second,
      silenceUs: 3 * second,
    },
    {
      kind: 'summary',
      service: 'model',
      tier: 'second',
      repeatable: false,
      resumable: false,
      budgetUs: 30 * second,
      firstPieceUs: 8 * second,
      silenceUs: 3 * second,
    },
    {
      kind: 'draft',
      service: 'model',
      tier: 'second',
      repeatable: true,
      resumable: true,
      budgetUs: 40 * second,
      firstPieceUs: 8 * second,
      silenceUs: 3 * second,
    },
    {
      kind: 'check',
      service: 'status',
      tier: 'first',
      repeatable: true,
      resumable: false,
      budgetUs: 5 * second,
      firstPieceUs: 2 * second,
      silenceUs: 3 * second,
    },
  ],
  warmup: {
    vnodes: 16,
    prefixesPerRange: 1000,
    paceUs: 250_000,
    boundUs: 10 * second,
    settleUs: 5 * second,
    staleUs: 300 * second,
  },
  flight: { boundUs: 2 * second },
  pressure: { factor: 1.5, floor: 4, slots: 400 },
  retry: { fraction: 0.2, fleetExtra: 24 },
  leaving: { graceUs: 1.2 * second },
});
