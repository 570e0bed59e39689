import { Command, InvalidArgumentError } from 'commander';
import { writeDays } from './write-days.js';

type DaysOptions = { readonly site: string; readonly seed: number; readonly count: number; readonly out: string };

const wholeNumber = (least: number) => (text: string) => {
  const value = Number(text);
  if (!Number.isSafeInteger(value) || value < least)
    throw new InvalidArgumentError(`It must be a whole number from ${least} on.`);
  return value;
};

const command = new Command('days')
  .description('draw days of troubles for a deployment, and write them as files for its bench')
  .requiredOption('--site <file>', 'the site file whose figures the days are drawn for')
  .requiredOption('--seed <number>', 'the seed; the same seed and site give the same days', wholeNumber(0))
  .option('--count <number>', 'how many days', wholeNumber(1), 1)
  .requiredOption('--out <folder>', 'the folder that the files are written to');

command.action(({ site, seed, count, out }: DaysOptions) =>
  writeDays({ sitePath: site, seed, count, outPath: out }).caseOf({
    Left: (faults) =>
      command.error(faults.map(({ path, message }) => `error: ${site}: ${path}: ${message}`).join('\n'), {
        exitCode: 2,
      }),
    Right: (days) => {
      for (const { sitePath, dayPath } of days) process.stdout.write(`${sitePath} ${dayPath}\n`);
    },
  }),
);

command.parse();
