import { writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { playSoak } from './play-soak.js';

type Flags = { readonly seeds: string; readonly rounds: string; readonly logs?: string };

const print = (line: string): void => void process.stdout.write(`${line}\n`);

const rangeOf = (text: string): readonly number[] => {
  const [first = 1, last = first] = text.split('-').map(Number);
  return Array.from({ length: last - first + 1 }, (_, place) => first + place);
};

const flags = new Command('soak')
  .description('real processes of the deployed roles under overlapping troubles, judged by the rules')
  .option('--seeds <first-last>', 'the seeds to play, one after another', '1-5')
  .option('--rounds <count>', 'how many times two or three troubles begin together', '4')
  .option('--logs <folder>', 'where the logs of a seed that breaks something are kept')
  .parse()
  .opts<Flags>();

let broken = 0;
for (const seed of rangeOf(flags.seeds)) {
  const { requests, served, unserved, faults, logs } = await playSoak({
    seed,
    rounds: Number(flags.rounds),
    tell: print,
  });
  print(`seed ${seed}: ${served} of ${requests} served, ${faults.length} faults`);
  for (const line of unserved.slice(0, 6)) print(`  not served: ${line}`);
  for (const fault of faults.slice(0, 20)) print(`  ${fault}`);
  if (faults.length === 0) continue;
  broken += 1;
  if (flags.logs !== undefined) writeFileSync(`${flags.logs}/soak-${seed}.log`, `${faults.join('\n')}\n${logs}`);
}
print(`${broken} seeds broke something`);
process.exit(broken === 0 ? 0 : 1);
