import type { SimScenario } from '../sim/sim-run.js';

/** A range of seeds, both ends included. */
export type SeedRange = { readonly first: number; readonly last: number };

const seedRangePattern = /^(\d{1,9})(?:-(\d{1,9}))?$/;

/** Parses `N` or `FIRST-LAST`; undefined for any other text or an empty range. */
export const parseSeeds = (text: string): SeedRange | undefined => {
  const match = seedRangePattern.exec(text);
  const first = Number(match?.[1]);
  const last = Number(match?.[2] ?? match?.[1]);
  return match !== null && last >= first ? { first, last } : undefined;
};

/**
 * Runs a scenario for every seed; reports each violated rule with the command that reproduces it, and returns a
 * summary.
 */
export const runVirtualScenario = async (
  scenario: SimScenario,
  { first, last }: SeedRange,
  report: (line: string) => void,
) => {
  const counts: Record<string, number> = {};
  const brokenSeeds: number[] = [];
  for (let seed = first; seed <= last; seed += 1) {
    const run = await scenario.play(seed);
    for (const [name, count] of Object.entries(run.counts)) counts[name] = (counts[name] ?? 0) + count;
    if (run.broken.length === 0) continue;
    brokenSeeds.push(seed);
    report(
      `seed ${seed}: ${run.broken.length} rules violated; reproduce with: ledgehill rehearse --virtual ${scenario.name} --seeds ${seed}`,
    );
    for (const violation of run.broken.slice(0, 5)) report(`  ${violation}`);
    for (const fault of run.faults) report(`    ${fault}`);
  }
  return { scenario: scenario.name, seeds: last - first + 1, brokenSeeds, counts };
};
