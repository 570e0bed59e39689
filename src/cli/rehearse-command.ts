import { Option, type Command } from 'commander';
import { typedError } from '../common/typed-error.js';
import { reportError, printJson } from './fail.js';
import { knownDeployments, knownScenarios, knownSimScenarios } from './known-scenarios.js';
import { parseSeeds, runVirtualScenario } from './play-virtual.js';

type RehearseFlags = {
  readonly scenario: string;
  readonly deployment: 'archive' | 'cuenca';
  readonly seconds?: string;
  readonly seed: string;
  readonly keep?: boolean;
  readonly virtual?: string;
  readonly seeds: string;
};

const wholeNumberPattern = /^\d{1,9}$/;

const helpListOf = (items: readonly { readonly name: string; readonly about: string }[]): string =>
  items.map((item) => `  ${item.name}: ${item.about}`).join('\n');

const report = (line: string): void => void process.stderr.write(`${line}\n`);

/**
 * Adds `rehearse`: runs a test scenario with real processes on this host, or with the state machines in virtual time.
 */
export const addRehearseCommand = (program: Command): void => {
  const command = program
    .command('rehearse')
    .description('start a whole fleet on this host, run a test scenario on it and check every rule')
    .addOption(
      new Option('--scenario <name>', 'the scenario')
        .choices(knownScenarios.map((scenario) => scenario.name))
        .default('short'),
    )
    .addOption(
      new Option('--deployment <name>', 'the deployment whose sizes, rates and setup are used')
        .choices([...knownDeployments])
        .default('cuenca'),
    )
    .option('--seconds <count>', 'the duration of the traffic, 5 to 3600; default depends on the scenario')
    .option('--seed <number>', 'the seed of the random number generator', '1')
    .option('--keep', 'do not delete the folder with settings, logs and data')
    .addOption(
      new Option('--virtual <name>', 'run the state machines in virtual time instead').choices(
        knownSimScenarios.map((scenario) => scenario.name),
      ),
    )
    .option('--seeds <first-last>', 'the seeds for virtual time', '1-20')
    .addHelpText(
      'after',
      `\nScenarios:\n${helpListOf(knownScenarios)}\n\nIn virtual time:\n${helpListOf(knownSimScenarios)}`,
    );
  const failUsage = (message: string): never =>
    command.error(`error: ${message}\n\n${command.helpInformation()}`, { exitCode: 2 });

  command.action(async (flags: RehearseFlags) => {
    if (flags.virtual !== undefined) {
      const { simScenarios } = await import('../sim/sim-scenarios.js');
      const virtualScenario =
        simScenarios.find((candidate) => candidate.name === flags.virtual) ??
        failUsage(`unknown virtual scenario ${flags.virtual}`);
      const seeds = parseSeeds(flags.seeds) ?? failUsage('--seeds must be a number or a range such as 1-20');
      const summary = await runVirtualScenario(virtualScenario, seeds, report);
      printJson(summary);
      if (summary.brokenSeeds.length > 0)
        reportError(
          typedError('rule-broken', `rules violated by ${summary.brokenSeeds.length} of ${summary.seeds} seeds`),
        );
      return;
    }
    const { deployments } = await import('../rehearsal/deployment/deployments.js');
    const { rehearse } = await import('../rehearsal/run/rehearse.js');
    const { scenarios } = await import('../rehearsal/run/scenarios.js');
    const { summaryOf } = await import('../rehearsal/run/summary.js');
    const scenario =
      scenarios.find((candidate) => candidate.name === flags.scenario) ??
      failUsage(`unknown scenario ${flags.scenario}`);
    if (!wholeNumberPattern.test(flags.seed)) failUsage('--seed must be a whole number');
    const seconds = flags.seconds ?? String(scenario.seconds);
    if (!(wholeNumberPattern.test(seconds) && Number(seconds) >= 5 && Number(seconds) <= 3600))
      failUsage('--seconds must be a whole number from 5 to 3600');
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(130));
    const end = await rehearse({
      deployment: deployments[flags.deployment],
      scenario,
      seconds: Number(seconds),
      seed: Number(flags.seed),
      keepFolder: flags.keep === true,
      tell: report,
    }).run();
    end.ifLeft(reportError).ifRight((rehearsalEnd) => {
      printJson(summaryOf(rehearsalEnd));
      if (rehearsalEnd.findings.length > 0)
        reportError(typedError('rule-broken', `${rehearsalEnd.findings.length} findings in the rehearsal`));
    });
    process.exit();
  });
};
