import { Command } from 'commander';
import { describeBreak, findBreak } from './walk-property.js';

/** The long form of the model check, by hand: random walks of any length and number. */

const wholeOf = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 0) command.error(`error: ${text} is not a whole number`, { exitCode: 2 });
  return value;
};

const command = new Command('model')
  .description('search the replicated log of the core for a broken rule')
  .option('--seed <number>', 'the first walk is drawn from this seed', wholeOf, 1)
  .option('--runs <number>', 'how many walks', wholeOf, 20_000)
  .option('--depth <number>', 'the most actions of a walk', wholeOf, 60)
  .option('--sizes <list>', 'how many replicas, separated by commas', '2,3,3,4,5')
  .option('--known <pattern>', 'breaks that are known already and passed over');

type ModelOptions = {
  readonly seed: number;
  readonly runs: number;
  readonly depth: number;
  readonly sizes: string;
  readonly known?: string;
};

command.action(({ seed, runs, depth, sizes, known }: ModelOptions) => {
  const found = findBreak({
    seed,
    runs,
    depth,
    sizes: sizes.split(',').map(wholeOf),
    known: known === undefined ? undefined : new RegExp(known),
  });
  const passed = known === undefined ? '' : ` but those that are passed over: ${known}`;
  process.stdout.write(
    found === undefined ? `${runs} walks from seed ${seed} break no rule${passed}\n` : `${describeBreak(found)}\n`,
  );
  process.exitCode = found === undefined ? 0 : 1;
});

command.parse();
