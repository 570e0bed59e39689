import type { ListedServer } from '../../src/servers/list/listed-server.js';
import type { ServerList } from '../../src/servers/list/server-list.js';
import type { Setup } from '../../src/setup/document/setup.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import type { Warmup } from '../../src/setup/document/warmup.js';

/** One second in microseconds. */
export const second = 1_000_000;

export const warmup: Warmup = {
  vnodes: 8,
  prefixesPerRange: 10,
  paceUs: second,
  boundUs: 30 * second,
  settleUs: 10 * second,
  staleUs: 300 * second,
};

export const setup: Setup = {
  name: 'trace',
  fleet: { routers: 1 },
  services: [
    { name: 'model', type: 'model' },
    { name: 'status', type: 'web' },
  ],
  tiers: [
    { name: 'first', weight: 4, share: 1 },
    { name: 'second', weight: 1, share: 0.5 },
  ],
  rules: [
    {
      kind: 'ask',
      service: 'model',
      tier: 'first',
      repeatable: true,
      resumable: true,
      budgetUs: 20 * second,
      firstPieceUs: 5 * second,
      silenceUs: 3 * second,
    },
    {
      kind: 'draft',
      service: 'model',
      tier: 'second',
      repeatable: true,
      resumable: false,
      budgetUs: 60 * second,
      firstPieceUs: 5 * second,
      silenceUs: 3 * second,
    },
    {
      kind: 'record',
      service: 'model',
      tier: 'second',
      repeatable: false,
      resumable: false,
      budgetUs: 60 * second,
      firstPieceUs: 5 * second,
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
  warmup,
  flight: { boundUs: 2 * second },
  pressure: { factor: 1.5, floor: 4, slots: 100 },
  retry: { fraction: 0.2, fleetExtra: 24 },
  leaving: { graceUs: 2 * second },
};

export const recordOf = (configuration: Setup = setup, revision = 1, takenAtUs = 0): SetupRecord => ({
  revision,
  takenAtUs,
  setup: configuration,
  epochs: [{ sinceUs: takenAtUs, warmup: configuration.warmup }],
});

export const serverOf = (id: string, listedAtUs: number, overrides: Partial<ListedServer> = {}): ListedServer => ({
  id,
  incarnation: 'i1',
  service: 'model',
  address: `10.0.0.1:${9000 + id.length * 100 + (id.codePointAt(id.length - 1) ?? 0)}`,
  locality: 'a',
  listedAtUs,
  state: 'up',
  ...overrides,
});

/** Servers `sa`, `sb`, ... that are listed at the same time, so that they enter the ring without a warm-up. */
export const initialServersAt = (count: number, listedAtUs: number): readonly ListedServer[] =>
  Array.from({ length: count }, (_, index) => serverOf(`s${String.fromCodePoint(97 + index)}`, listedAtUs));

export const listOf = (version: number, atUs: number, servers: readonly ListedServer[]): ServerList => ({
  version,
  atUs,
  servers,
});
