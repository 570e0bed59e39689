import { Option, type Command } from 'commander';
import { EitherAsync } from 'purify-ts';
import { reportError } from './fail.js';

type NodeFlags = {
  readonly settings?: string;
  readonly node?: string;
  readonly locality?: string;
  readonly http?: string;
  readonly partners?: string;
  readonly partnersListen?: string;
  readonly seed?: readonly string[];
  readonly data?: string;
  readonly ringFiles?: number;
  readonly ringFileBytes?: number;
};

/** The named flags that are present, by their setting names. */
const settingsOf = (flags: NodeFlags, names: readonly (keyof NodeFlags)[]): object =>
  Object.fromEntries(
    names.flatMap((name) => {
      const value = flags[name];
      return value === undefined ? [] : [[name === 'seed' ? 'seeds' : name, value] as const];
    }),
  );

const appendSeed = (seed: string, seeds: readonly string[] | undefined): readonly string[] => [...(seeds ?? []), seed];

const addNodeFlags = (command: Command): Command =>
  command
    .option('-s, --settings <file>', 'a settings file (JSON); flags override its values')
    .option('--node <name>', 'the name of this node')
    .option('--locality <name>', 'the locality of this node')
    .option('--http <ip:port>', 'the address on which clients, operators and the platform reach this node')
    .option('--partners <ip:port>', 'the address on which its peers reach this node')
    .option('--partners-listen <ip:port>', 'the address on which it listens for peers, if different')
    .addOption(
      new Option('--seed <ip:port>', 'a seed address; repeat the flag, three seeds are recommended').argParser(
        appendSeed,
      ),
    );

const nodeFlagNames: readonly (keyof NodeFlags)[] = ['node', 'locality', 'http', 'partners', 'partnersListen', 'seed'];

/** Runs a node until it ends, and then exits the process. */
const runAndExit = async (run: EitherAsync<Parameters<typeof reportError>[0], void>): Promise<void> => {
  (await run.run()).ifLeft(reportError);
  process.exit();
};

/** Adds `router` and `control`, which run a node of the fleet. */
export const addRunCommands = (program: Command): void => {
  addNodeFlags(program.command('router').description('run a router node')).action(async (flags: NodeFlags) => {
    const { runRouter } = await import('../process/run-router.js');
    const { checkRouterSettings, readSettingsFile } = await import('../process/settings/check-settings.js');
    await runAndExit(
      EitherAsync.liftEither(
        readSettingsFile(flags.settings).chain((settings) =>
          checkRouterSettings({ ...settings, ...settingsOf(flags, nodeFlagNames) }),
        ),
      ).chain(runRouter),
    );
  });
  addNodeFlags(program.command('control').description('run a control node'))
    .option('--data <folder>', 'the data folder')
    .option('--ring-files <count>', 'the number of files of the disk ring', Number)
    .option('--ring-file-bytes <bytes>', 'the size of each ring file', Number)
    .action(async (flags: NodeFlags) => {
      const { runControl } = await import('../process/run-control.js');
      const { checkControlSettings, readSettingsFile } = await import('../process/settings/check-settings.js');
      await runAndExit(
        EitherAsync.liftEither(
          readSettingsFile(flags.settings).chain((settings) =>
            checkControlSettings({
              ringFiles: 3,
              ringFileBytes: 16 << 20,
              ...settings,
              ...settingsOf(flags, [...nodeFlagNames, 'data', 'ringFiles', 'ringFileBytes']),
            }),
          ),
        ).chain(runControl),
      );
    });
};
