import type { Command } from 'commander';
import { EitherAsync } from 'purify-ts';
import { fail, print } from './fail.js';

type ExplainFlags = { readonly node?: string; readonly journal?: string; readonly json?: boolean };

/** Why an exchange went where it went, from a node or from a journal that was saved. */
export const addExplainCommand = (program: Command): void => {
  const explain = program
    .command('explain <exchange>')
    .description('why an exchange went where it went, was refused, tried again, carried over or held')
    .option('--node <ip:port>', 'the HTTP address of the router that served it')
    .option('--journal <file>', 'a journal that was saved (- for standard input)')
    .option('--json', 'print the story as JSON');
  explain.action(async (exchange: string, { node, journal, json }: ExplainFlags) => {
    if ((node === undefined) === (journal === undefined)) {
      explain.error('error: give either --node or --journal', { exitCode: 2 });
      return;
    }
    const { storyAt, storyIn } = await import('./find-story.js');
    const { explainTrace: explainStory } = await import('../router/explain/explain-trace.js');
    const story =
      node === undefined ? EitherAsync.liftEither(storyIn(journal ?? '-', exchange)) : storyAt(node, exchange);
    (await story.run()).ifLeft(fail).ifRight((found) => {
      if (json === true) print(found);
      else process.stdout.write(`${explainStory(found).join('\n')}\n`);
    });
  });

  program
    .command('journal')
    .description("print a router's journal of exchanges, to be saved and explained later")
    .requiredOption('--node <ip:port>', 'the HTTP address of the router')
    .action(async ({ node }: { readonly node: string }) => {
      const { journalAt } = await import('./find-story.js');
      (await journalAt(node).run()).ifLeft(fail).ifRight((text) => process.stdout.write(text));
    });
};
