import { Option, type Command } from 'commander';
import { typedError } from '../common/typed-error.js';
import { deployments } from '../rehearsal/deployment/deployments.js';
import { rehearse } from '../rehearsal/run/rehearse.js';
import { scenarios } from '../rehearsal/run/scenarios.js';
import { summaryOf } from '../rehearsal/run/summary.js';
import { fail, print } from './fail.js';

type RehearseFlags = {
  readonly scenario: string;
  readonly deployment: 'archive' | 'cuenca';
  readonly seconds?: string;
  readonly seed: string;
  readonly keep?: boolean;
};

const wholeForm = /^\d{1,9}$/;

/** Rehearses the system with real processes on this machine. */
export const addRehearseCommand = (program: Command): void => {
  const command = program
    .command('rehearse')
    .description('start a whole fleet on this machine, play a scenario against it and check every rule')
    .addOption(
      new Option('--scenario <name>', 'which scenario')
        .choices(scenarios.map((scenario) => scenario.name))
        .default('short'),
    )
    .addOption(new Option('--deployment <name>', 'which deployment of the brief').choices(Object.keys(deployments)).default('cuenca'))
    .option('--seconds <count>', 'how long traffic runs')
    .option('--seed <number>', 'the seed of all chance', '1')
    .option('--keep', 'keep the folder with settings, logs and data')
    .addHelpText('after', `\nScenarios:\n${scenarios.map((scenario) => `  ${scenario.name}: ${scenario.about}`).join('\n')}`);
  command.action(async (flags: RehearseFlags) => {
    const scenario = scenarios.find((known) => known.name === flags.scenario);
    if (!wholeForm.test(flags.seed)) command.error('error: --seed must be a whole number', { exitCode: 2 });
    if (flags.seconds !== undefined && !(wholeForm.test(flags.seconds) && Number(flags.seconds) >= 5 && Number(flags.seconds) <= 3600))
      command.error('error: --seconds must be a whole number from 5 to 3600', { exitCode: 2 });
    if (scenario === undefined) return;
    const end = await rehearse({
      deployment: deployments[flags.deployment],
      scenario,
      seconds: flags.seconds === undefined ? scenario.seconds : Number(flags.seconds),
      seed: Number(flags.seed),
      keepFolder: flags.keep === true,
      tell: (line) => process.stderr.write(`${line}\n`),
    }).run();
    end.ifLeft(fail).ifRight((rehearsalEnd) => {
      print(summaryOf(rehearsalEnd));
      if (rehearsalEnd.findings.length > 0) fail(typedError('rule-broken', `${rehearsalEnd.findings.length} findings`));
    });
    process.exit();
  });
};
