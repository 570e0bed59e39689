import { readFileSync } from 'node:fs';
import { Left, type Either } from 'purify-ts';
import type { Command } from 'commander';
import { checked } from '../common/checked.js';
import { parseJson } from '../common/json.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import { policyParts, policyWithout, defaultPolicy, type DecisionPolicy } from '../decision/policy.js';
import { experimentSchema, type Experiment } from '../experiment/deployment.js';
import type { ExperimentResult } from '../experiment/play-experiment.js';
import { playSeeds, spreadOf } from '../experiment/play-seeds.js';
import { fail } from './fail.js';
import { parseSeeds } from './play-virtual.js';

type Flags = { readonly seeds: string; readonly without: string; readonly ablate: boolean };

const readExperiment = (path: string): Either<TypedError, Experiment> => {
  try {
    return parseJson(readFileSync(path, 'utf8'), 'bad-usage').chain((value) =>
      checked(experimentSchema, value).mapLeft((faults) =>
        typedError('bad-usage', faults.map((fault) => `${fault.path}: ${fault.message}`).join('\n'), faults),
      ),
    );
  } catch (thrown) {
    return Left(typedError('bad-usage', `${path}: ${messageOf(thrown)}`));
  }
};

const isPart = (name: string): name is keyof DecisionPolicy => policyParts.some((part) => part === name);

const print = (line: string): void => void process.stdout.write(`${line}\n`);

const percent = (count: number, of: number): string => ((100 * count) / Math.max(1, of)).toFixed(1);

const rowOf = (name: string, results: readonly ExperimentResult[]): string => {
  const worth = spreadOf(results.map((result) => result.worth));
  const mean = (figure: (result: ExperimentResult) => number): number => spreadOf(results.map(figure)).mean;
  const cells = [
    name,
    `${worth.mean.toFixed(3)} (${worth.least.toFixed(3)} to ${worth.most.toFixed(3)})`,
    mean(({ worstWindow }) => worstWindow).toFixed(3),
    mean(({ worstClass }) => worstClass).toFixed(3),
    percent(
      mean(({ late }) => late),
      mean(({ requests }) => requests),
    ),
    percent(
      mean(({ failed, refused }) => failed + refused),
      mean(({ requests }) => requests),
    ),
    mean(({ busiest }) => busiest).toFixed(2),
    mean(({ readPart }) => readPart).toFixed(3),
  ];
  return `| ${cells.join(' | ')} |`;
};

/** Plays emulated routers, servers and clients on virtual time, with all of the policy or without parts of it. */
export const addExperimentCommand = (program: Command): void => {
  const command = program
    .command('experiment')
    .description('play a deployment and its load on virtual time, and show what the decision earns')
    .argument('<file>', 'the experiment, as JSON; see examples/experiments')
    .option('--seeds <range>', 'the seeds to play', '1-3')
    .option('--without <parts>', `parts of the policy to leave out, by commas: ${policyParts.join(', ')}`, '')
    .option('--ablate', 'one row for the whole policy, and one for each part left out', false);
  const misused = (message: string): never =>
    command.error(`error: ${message}\n\n${command.helpInformation()}`, { exitCode: 2 });

  const seedsOf = (text: string): readonly number[] => {
    const range = parseSeeds(text) ?? misused('--seeds must be a number, or a range like 1-3');
    return Array.from({ length: range.last - range.first + 1 }, (_, place) => range.first + place);
  };

  const policyOf = (text: string): DecisionPolicy =>
    text
      .split(',')
      .filter((name) => name !== '')
      .reduce<DecisionPolicy>(
        (policy, name) => (isPart(name) ? { ...policy, [name]: false } : misused(`no part is named ${name}`)),
        defaultPolicy,
      );

  command.action(async (path: string, { seeds: seedsText, without, ablate }: Flags) => {
    const seeds = seedsOf(seedsText);
    const policy = policyOf(without);
    const read = readExperiment(path);
    read.ifLeft(fail);
    if (read.isLeft()) return;
    const experiment = read.unsafeCoerce();
    print('| policy | worth (least to most) | worst 2 s | worst class | late, % | failed, % | busiest | read |');
    print('| --- | --- | --- | --- | --- | --- | --- | --- |');
    const all = without === '' ? 'all of it' : `without ${without}`;
    print(rowOf(all, await playSeeds(experiment, seeds, policy)));
    if (!ablate) return;
    for (const part of policyParts)
      print(rowOf(`without ${part}`, await playSeeds(experiment, seeds, policyWithout(part))));
  });
};
