import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';
import type { Command } from 'commander';
import { messageOf, typedError } from '../common/typed-error.js';
import { fail } from './fail.js';

/** Events in, decisions out, one JSON document a line. */
export const addDecideCommand = (program: Command): void => {
  program
    .command('decide [file]')
    .description('play a stream of events (NDJSON) against the decision machine and print its decisions')
    .action(async (file: string | undefined) => {
      const { openTraceReader } = await import('../decision/trace/trace-reader.js');
      const reader = openTraceReader();
      const input = file === undefined || file === '-' ? process.stdin : createReadStream(file);
      const lines = createInterface({ input, crlfDelay: Infinity });
      const inputError = new Promise<never>((_, reject) => input.once('error', reject));
      const playAll = async (): Promise<void> => {
        for await (const line of lines) {
          const read = reader.read(line);
          if (read.isLeft()) {
            read.ifLeft(fail);
            return;
          }
          read.ifRight((decisions) => {
            for (const decision of decisions) process.stdout.write(`${JSON.stringify(decision)}\n`);
          });
        }
      };
      try {
        await Promise.race([playAll(), inputError]);
      } catch (thrown) {
        fail(typedError('bad-usage', messageOf(thrown)));
      }
    });
};
