import type { SimScenario } from '../sim/sim-run.js';

/** A range of seeds, both ends played. */
export type SeedRange = { readonly first: number; readonly last: number };

const seedForm = /^(\d{1,9})(?:-(\d{1,9}))?$/;

export const parseSeeds = (text: string): SeedRange | undefined => {
  const match = seedForm.exec(text);
  const first = Number(match?.[1]);
  const last = Number(match?.[2] ?? match?.[1]);
  return match !== null && last >= first ? { first, last } : undefined;
};

/** Plays a scenario for every seed, tells of each that breaks a rule how to replay it, and sums up. */
export const playVirtual = async (scenario: SimScenario, { first, last }: SeedRange, tell: (line: string) => void) => {
  const counts: Record<string, number> = {};
  const brokenSeeds: number[] = [];
  for (let seed = first; seed <= last; seed += 1) {
    const run = await scenario.play(seed);
    for (const [name, count] of Object.entries(run.counts)) counts[name] = (counts[name] ?? 0) + count;
    if (run.broken.length === 0) continue;
    brokenSeeds.push(seed);
    tell(
      `seed ${seed} breaks ${run.broken.length} rules; replay: ledgehill rehearse --virtual ${scenario.name} --seeds ${seed}`,
    );
    for (const broken of run.broken.slice(0, 5)) tell(`  ${broken}`);
    for (const fault of run.faults) tell(`    ${fault}`);
  }
  return { scenario: scenario.name, seeds: last - first + 1, brokenSeeds, counts };
};
