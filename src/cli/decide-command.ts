import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Command } from 'commander';
import { messageOf, typedError } from '../common/typed-error.js';
import { reportError } from './fail.js';

/** Adds `decide`: reads events and writes decisions, both as NDJSON. */
export const addDecideCommand = (program: Command): void => {
  program
    .command('decide [file]')
    .description('run the decision state machine on a stream of events (NDJSON) and print its decisions')
    .action(async (file: string | undefined) => {
      const { openTraceReader } = await import('../decision/trace/trace-reader.js');
      const reader = openTraceReader();
      const input = file === undefined || file === '-' ? process.stdin : createReadStream(file);
      const lines = createInterface({ input, crlfDelay: Infinity });
      const inputError = new Promise<never>((_, reject) => input.once('error', reject));
      const processLines = async (): Promise<void> => {
        for await (const line of lines) {
          const read = reader.read(line);
          if (read.isLeft()) {
            read.ifLeft(reportError);
            return;
          }
          read.ifRight((decisions) => {
            for (const decision of decisions) process.stdout.write(`${JSON.stringify(decision)}\n`);
          });
        }
      };
      try {
        await Promise.race([processLines(), inputError]);
      } catch (thrown) {
        reportError(typedError('bad-usage', messageOf(thrown)));
      }
    });
};
