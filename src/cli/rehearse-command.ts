import { Option, type Command } from 'commander';
import { typedError } from '../common/typed-error.js';
import { fail, print } from './fail.js';
import { knownDeployments, knownScenarios, knownSimScenarios } from './known-scenarios.js';
import { parseSeeds, playVirtual } from './play-virtual.js';

type RehearseFlags = {
  readonly scenario: string;
  readonly deployment: 'archive' | 'cuenca';
  readonly seconds?: string;
  readonly seed: string;
  readonly keep?: boolean;
  readonly virtual?: string;
  readonly seeds: string;
};

const wholeForm = /^\d{1,9}$/;

const listed = (items: readonly { readonly name: string; readonly about: string }[]): string =>
  items.map((item) => `  ${item.name}: ${item.about}`).join('\n');

const tell = (line: string): void => void process.stderr.write(`${line}\n`);

/** Rehearses the system with real processes on this machine, or its machines in virtual time. */
export const addRehearseCommand = (program: Command): void => {
  const command = program
    .command('rehearse')
    .description('start a whole fleet on this machine, play a scenario against it and check every rule')
    .addOption(
      new Option('--scenario <name>', 'which scenario')
        .choices(knownScenarios.map((scenario) => scenario.name))
        .default('short'),
    )
    .addOption(
      new Option('--deployment <name>', 'which deployment of the brief')
        .choices([...knownDeployments])
        .default('cuenca'),
    )
    .option('--seconds <count>', 'how long traffic runs, from 5 to 3600')
    .option('--seed <number>', 'the seed of all chance', '1')
    .option('--keep', 'keep the folder with settings, logs and data')
    .addOption(
      new Option('--virtual <name>', 'play the state machines in virtual time instead').choices(
        knownSimScenarios.map((scenario) => scenario.name),
      ),
    )
    .option('--seeds <first-last>', 'the seeds that are played in virtual time', '1-20')
    .addHelpText('after', `\nScenarios:\n${listed(knownScenarios)}\n\nIn virtual time:\n${listed(knownSimScenarios)}`);
  const misused = (message: string): never =>
    command.error(`error: ${message}\n\n${command.helpInformation()}`, { exitCode: 2 });

  command.action(async (flags: RehearseFlags) => {
    if (flags.virtual !== undefined) {
      const { simScenarios } = await import('../sim/sim-scenarios.js');
      const virtualScenario =
        simScenarios.find((known) => known.name === flags.virtual) ?? misused(`no scenario is named ${flags.virtual}`);
      const seeds = parseSeeds(flags.seeds) ?? misused('--seeds must be one seed or first-last');
      const sum = await playVirtual(virtualScenario, seeds, tell);
      print(sum);
      if (sum.brokenSeeds.length > 0)
        fail(typedError('rule-broken', `${sum.brokenSeeds.length} of ${sum.seeds} seeds break a rule`));
      return;
    }
    const { deployments } = await import('../rehearsal/deployment/deployments.js');
    const { rehearse } = await import('../rehearsal/run/rehearse.js');
    const { scenarios } = await import('../rehearsal/run/scenarios.js');
    const { summaryOf } = await import('../rehearsal/run/summary.js');
    const scenario =
      scenarios.find((known) => known.name === flags.scenario) ?? misused(`no scenario is named ${flags.scenario}`);
    if (!wholeForm.test(flags.seed)) misused('--seed must be a whole number');
    const seconds = flags.seconds ?? String(scenario.seconds);
    if (!(wholeForm.test(seconds) && Number(seconds) >= 5 && Number(seconds) <= 3600))
      misused('--seconds must be a whole number from 5 to 3600');
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(130));
    const end = await rehearse({
      deployment: deployments[flags.deployment],
      scenario,
      seconds: Number(seconds),
      seed: Number(flags.seed),
      keepFolder: flags.keep === true,
      tell,
    }).run();
    end.ifLeft(fail).ifRight((rehearsalEnd) => {
      print(summaryOf(rehearsalEnd));
      if (rehearsalEnd.findings.length > 0) fail(typedError('rule-broken', `${rehearsalEnd.findings.length} findings`));
    });
    process.exit();
  });
};
