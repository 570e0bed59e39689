import type { Deployment } from './deployment.js';

const model = { isModel: true, runsOnce: false } as const;

export const deployments: Readonly<Record<'archive' | 'cuenca', Deployment>> = {
  archive: {
    name: 'archive',
    setupPath: 'examples/archive/setup.json',
    routers: 6,
    models: 13,
    webs: 3,
    modelService: 'plate-model',
    webService: 'thumbnails',
    exchangesPerSecond: 100,
    kinds: [
      { kind: 'catalogue-question', share: 0.4, ...model, openings: 150, openingBytes: 400, pieces: 6 },
      {
        kind: 'night-log-summary',
        share: 0.2,
        ...model,
        runsOnce: true,
        openings: 120,
        openingBytes: 1500,
        pieces: 15,
      },
      { kind: 'plate-transcription', share: 0.15, ...model, openings: 80, openingBytes: 6000, pieces: 60 },
      {
        kind: 'plate-thumbnail',
        share: 0.25,
        isModel: false,
        runsOnce: false,
        openings: 0,
        openingBytes: 0,
        pieces: 0,
      },
    ],
  },
  cuenca: {
    name: 'cuenca',
    setupPath: 'examples/cuenca/setup.json',
    routers: 9,
    models: 13,
    webs: 3,
    modelService: 'label-model',
    webService: 'press-status',
    exchangesPerSecond: 90,
    kinds: [
      { kind: 'batch-code-check', share: 0.45, ...model, openings: 150, openingBytes: 400, pieces: 5 },
      {
        kind: 'label-copy-rewrite',
        share: 0.25,
        ...model,
        runsOnce: true,
        openings: 120,
        openingBytes: 1200,
        pieces: 12,
      },
      { kind: 'dossier-draft', share: 0.15, ...model, openings: 80, openingBytes: 5000, pieces: 50 },
      { kind: 'press-check', share: 0.15, isModel: false, runsOnce: false, openings: 0, openingBytes: 0, pieces: 0 },
    ],
  },
};
