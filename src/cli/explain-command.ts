import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { EitherAsync, Left, Right, type Either } from 'purify-ts';
import { checked } from '../common/checked.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { ExchangeStory } from '../router/explain/exchange-story.js';
import { explainStory } from '../router/explain/explain-story.js';
import { readJournal } from '../router/explain/saved-journal.js';
import { storySchema } from '../router/explain/story-schema.js';
import { fail, print } from './fail.js';
import { httpCall, httpText } from './http-call.js';

type ExplainFlags = { readonly node?: string; readonly journal?: string; readonly json?: boolean };

const storyAt = (node: string, exchange: string): EitherAsync<TypedError, ExchangeStory> =>
  httpCall({ method: 'GET', address: node, path: `/explain/${encodeURIComponent(exchange)}` }).chain(({ status, body }) =>
    EitherAsync.liftEither(
      status === 200
        ? checked(storySchema, body).mapLeft((faults) => typedError('bad-message', 'the story does not hold', faults))
        : Left(typedError('unknown-exchange', `${node} keeps no story of ${exchange}`)),
    ),
  );

const readText = (path: string): Either<TypedError, string> => {
  try {
    return Right(readFileSync(path === '-' ? 0 : path, 'utf8'));
  } catch (thrown) {
    return Left(typedError('bad-journal', `${path}: ${messageOf(thrown)}`));
  }
};

const storyIn = (path: string, exchange: string): Either<TypedError, ExchangeStory> =>
  readText(path)
    .chain(readJournal)
    .chain((stories) => {
      const story = stories.find((known) => known.exchange === exchange);
      return story === undefined ? Left(typedError('unknown-exchange', `${path} holds no story of ${exchange}`)) : Right(story);
    });

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
    const story = node === undefined ? EitherAsync.liftEither(storyIn(journal ?? '-', exchange)) : storyAt(node, exchange);
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
      const read = await httpText(node, '/journal').run();
      read.chain((text) => readJournal(text).map(() => text)).ifLeft(fail).ifRight((text) => process.stdout.write(text));
    });
};
