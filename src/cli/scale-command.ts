import { writeFileSync } from 'node:fs';
import type { Command } from 'commander';
import type { SizeFigures } from '../scale/size-figures.js';
import { print, fail } from './fail.js';

type ScaleFlags = { readonly sizes: string; readonly servers: string; readonly quiet: string; readonly json?: string };

const sizesForm = /^\d{1,4}(,\d{1,4})*$/;
const wholeForm = /^\d{1,5}$/;

/** Measures what each role spends among hollow nodes, at several sizes. */
export const addScaleCommand = (program: Command): void => {
  const command = program
    .command('scale')
    .description(
      'start real core machines and routers among hollow nodes that speak the real words, and measure what each spends',
    )
    .option('--sizes <counts>', 'how many nodes in all, by commas, each from 25 to 1000', '25,100,400')
    .option('--servers <count>', 'how many hollow servers the list holds', '1500')
    .option('--quiet <seconds>', 'how long is measured at each size', '10')
    .option('--json <file>', 'where the figures are written too');
  const misused = (message: string): never =>
    command.error(`error: ${message}\n\n${command.helpInformation()}`, { exitCode: 2 });
  command.action(async (flags: ScaleFlags) => {
    if (!sizesForm.test(flags.sizes)) misused('--sizes must be whole numbers by commas');
    const sizes = flags.sizes.split(',').map(Number);
    if (sizes.some((size) => size < 25 || size > 1000)) misused('--sizes must be from 25 to 1000');
    if (!wholeForm.test(flags.servers)) misused('--servers must be a whole number');
    if (!wholeForm.test(flags.quiet) || Number(flags.quiet) < 1) misused('--quiet must be a whole number of seconds');
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(130));
    const { measureSize } = await import('../scale/scale.js');
    const figures: SizeFigures[] = [];
    for (const nodes of sizes) {
      const measured = await measureSize({
        nodes,
        servers: Number(flags.servers),
        quietUs: Number(flags.quiet) * 1_000_000,
        tell: (line) => void process.stderr.write(`${line}\n`),
      }).run();
      measured.ifLeft(fail);
      if (measured.isLeft()) break;
      figures.push(measured.unsafeCoerce());
      if (flags.json !== undefined) writeFileSync(flags.json, `${JSON.stringify(figures, null, 2)}\n`);
    }
    print(figures);
    process.exit();
  });
};
