import { readFileSync } from 'node:fs';
import { Left, type Either } from 'purify-ts';
import type { Command } from 'commander';
import { validate } from '../common/validate.js';
import { parseJson } from '../common/json.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import { policyParts, policyWithout, defaultPolicy, type DecisionPolicy } from '../decision/policy.js';
import { experimentSchema, type Experiment } from '../experiment/deployment.js';
import type { ExperimentResult } from '../experiment/play-experiment.js';
import { playSeeds, spreadOf } from '../experiment/play-seeds.js';
import { reportError } from './fail.js';
import { parseSeeds } from './play-virtual.js';

type Flags = { readonly seeds: string; readonly without: string; readonly ablate: boolean };

/** Reads and validates an experiment file; every failure is a `bad-usage` error. */
const readExperiment = (path: string): Either<TypedError, Experiment> => {
  try {
    return parseJson(readFileSync(path, 'utf8'), 'bad-usage').chain((value) =>
      validate(experimentSchema, value).mapLeft((faults) =>
        typedError('bad-usage', faults.map((fault) => `${fault.path}: ${fault.message}`).join('\n'), faults),
      ),
    );
  } catch (thrown) {
    return Left(typedError('bad-usage', `${path}: ${messageOf(thrown)}`));
  }
};

const isPart = (name: string): name is keyof DecisionPolicy => policyParts.some((part) => part === name);

const printLine = (line: string): void => void process.stdout.write(`${line}\n`);

const percent = (count: number, total: number): string => ((100 * count) / Math.max(1, total)).toFixed(1);

/** A row of the result table: the means over all seeds. */
const rowOf = (name: string, results: readonly ExperimentResult[]): string => {
  const worth = spreadOf(results.map((result) => result.worth));
  const mean = (valueOf: (result: ExperimentResult) => number): number => spreadOf(results.map(valueOf)).mean;
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

/**
 * Adds `experiment`: simulates routers, servers and clients in virtual time, with the whole policy or without parts of
 * it.
 */
export const addExperimentCommand = (program: Command): void => {
  const command = program
    .command('experiment')
    .description('simulate a deployment and its load in virtual time, and print the results of the routing policy')
    .argument('<file>', 'the experiment (JSON); see examples/experiments')
    .option('--seeds <range>', 'the seeds to simulate, first-last or a single one', '1-3')
    .option('--without <parts>', `comma-separated parts of the policy to disable: ${policyParts.join(', ')}`, '')
    .option('--ablate', 'also print one row for each part of the policy, with that part disabled', false);
  const failUsage = (message: string): never =>
    command.error(`error: ${message}\n\n${command.helpInformation()}`, { exitCode: 2 });

  const seedsOf = (text: string): readonly number[] => {
    const range = parseSeeds(text) ?? failUsage('--seeds must be a number or a range such as 1-3');
    return Array.from({ length: range.last - range.first + 1 }, (_, index) => range.first + index);
  };

  const policyOf = (text: string): DecisionPolicy =>
    text
      .split(',')
      .filter((name) => name !== '')
      .reduce<DecisionPolicy>(
        (policy, name) => (isPart(name) ? { ...policy, [name]: false } : failUsage(`unknown part ${name}`)),
        defaultPolicy,
      );

  command.action(async (path: string, { seeds: seedsText, without, ablate }: Flags) => {
    const seeds = seedsOf(seedsText);
    const policy = policyOf(without);
    const result = readExperiment(path);
    result.ifLeft(reportError);
    if (result.isLeft()) return;
    const experiment = result.unsafeCoerce();
    printLine('| policy | worth (least to most) | worst 2 s | worst class | late, % | failed, % | busiest | read |');
    printLine('| --- | --- | --- | --- | --- | --- | --- | --- |');
    const policyName = without === '' ? 'whole policy' : `without ${without}`;
    printLine(rowOf(policyName, await playSeeds(experiment, seeds, policy)));
    if (!ablate) return;
    for (const part of policyParts)
      printLine(rowOf(`without ${part}`, await playSeeds(experiment, seeds, policyWithout(part))));
  });
};
