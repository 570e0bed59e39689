import { Option, type Command } from 'commander';
import { EitherAsync } from 'purify-ts';
import { fail } from './fail.js';

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

const given = (flags: NodeFlags, names: readonly (keyof NodeFlags)[]): object =>
  Object.fromEntries(
    names.flatMap((name) => {
      const value = flags[name];
      return value === undefined ? [] : [[name === 'seed' ? 'seeds' : name, value] as const];
    }),
  );

const collect = (seed: string, seeds: readonly string[] | undefined): readonly string[] => [...(seeds ?? []), seed];

const withNodeFlags = (command: Command): Command =>
  command
    .option('-s, --settings <file>', 'a settings file (JSON); flags go before it')
    .option('--node <name>', 'the name of this node')
    .option('--locality <name>', 'the locality of this node')
    .option('--http <ip:port>', 'where callers, operators and the platform reach it')
    .option('--partners <ip:port>', 'where its partners reach it')
    .option('--partners-listen <ip:port>', 'where it listens for them, if that differs')
    .addOption(new Option('--seed <ip:port>', 'a seed address; give three').argParser(collect));

const nodeNames: readonly (keyof NodeFlags)[] = ['node', 'locality', 'http', 'partners', 'partnersListen', 'seed'];

const finish = async (run: EitherAsync<Parameters<typeof fail>[0], void>): Promise<void> => {
  (await run.run()).ifLeft(fail);
  process.exit();
};

/** The two kinds of process. */
export const addRunCommands = (program: Command): void => {
  withNodeFlags(program.command('router').description('run a router node')).action(async (flags: NodeFlags) => {
    const { runRouter } = await import('../process/run-router.js');
    const { checkRouterSettings, readSettingsFile } = await import('../process/settings/check-settings.js');
    await finish(
      EitherAsync.liftEither(
        readSettingsFile(flags.settings).chain((settings) =>
          checkRouterSettings({ ...settings, ...given(flags, nodeNames) }),
        ),
      ).chain(runRouter),
    );
  });
  withNodeFlags(program.command('control').description('run a core machine'))
    .option('--data <folder>', 'the data folder')
    .option('--ring-files <count>', 'how many files the disk ring has', Number)
    .option('--ring-file-bytes <bytes>', 'how large each of them is', Number)
    .action(async (flags: NodeFlags) => {
      const { runControl } = await import('../process/run-control.js');
      const { checkControlSettings, readSettingsFile } = await import('../process/settings/check-settings.js');
      await finish(
        EitherAsync.liftEither(
          readSettingsFile(flags.settings).chain((settings) =>
            checkControlSettings({
              ringFiles: 3,
              ringFileBytes: 16 << 20,
              ...settings,
              ...given(flags, [...nodeNames, 'data', 'ringFiles', 'ringFileBytes']),
            }),
          ),
        ).chain(runControl),
      );
    });
};
