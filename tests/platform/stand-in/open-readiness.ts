import { request } from 'undici';
import { callEvery } from '../../../src/common/clock/every.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';

/** Whose `readyz` says 200; a node is out after two misses and in again at its next 200. */
export type Readiness = {
  readonly ready: () => readonly string[];
  readonly close: () => void;
};

export type ProbedNode = { readonly edge: string; readonly readyz: string };

const spanUs = 300_000;

export const openReadiness = (nodes: readonly ProbedNode[]): Readiness => {
  const misses = new Map<string, number>(nodes.map(({ edge }) => [edge, 2]));
  const probe = async ({ edge, readyz }: ProbedNode): Promise<void> => {
    try {
      const told = await request(`http://${readyz}/ledgehill/readyz`, { signal: AbortSignal.timeout(1_000) });
      await told.body.dump();
      misses.set(edge, told.statusCode === 200 ? 0 : (misses.get(edge) ?? 0) + 1);
    } catch {
      misses.set(edge, (misses.get(edge) ?? 0) + 1);
    }
  };
  return {
    ready: () => nodes.flatMap(({ edge }) => ((misses.get(edge) ?? 2) < 2 ? [edge] : [])),
    close: callEvery(monotonicClock, spanUs, () => nodes.forEach((node) => void probe(node))),
  };
};
