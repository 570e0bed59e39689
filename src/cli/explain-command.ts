import type { Command } from 'commander';
import { EitherAsync } from 'purify-ts';
import { reportError, printJson } from './fail.js';

type ExplainFlags = { readonly node?: string; readonly journal?: string; readonly json?: boolean };

/** Adds `explain` and `journal`: the routing decisions for an exchange, from a router or from a saved journal. */
export const addExplainCommand = (program: Command): void => {
  const explain = program
    .command('explain <exchange>')
    .description(
      'explain why an exchange was routed to its server, refused, retried, resumed on another server or held',
    )
    .option('--node <ip:port>', 'the HTTP address of the router that served it')
    .option('--journal <file>', 'a saved journal (- for standard input)')
    .option('--json', 'print the trace as JSON');
  explain.action(async (exchange: string, { node, journal, json }: ExplainFlags) => {
    if ((node === undefined) === (journal === undefined)) {
      explain.error('error: specify exactly one of --node and --journal', { exitCode: 2 });
      return;
    }
    const { fetchTrace: storyAt, readSavedTrace: storyIn } = await import('./find-trace.js');
    const { explainTrace: explainStory } = await import('../router/explain/explain-trace.js');
    const trace =
      node === undefined ? EitherAsync.liftEither(storyIn(journal ?? '-', exchange)) : storyAt(node, exchange);
    (await trace.run()).ifLeft(reportError).ifRight((exchangeTrace) => {
      if (json === true) printJson(exchangeTrace);
      else process.stdout.write(`${explainStory(exchangeTrace).join('\n')}\n`);
    });
  });

  program
    .command('journal')
    .description("print a router's journal of exchanges, which can be saved and passed to explain --journal")
    .requiredOption('--node <ip:port>', 'the HTTP address of the router')
    .action(async ({ node }: { readonly node: string }) => {
      const { fetchJournal: journalAt } = await import('./find-trace.js');
      (await journalAt(node).run()).ifLeft(reportError).ifRight((text) => process.stdout.write(text));
    });
};
