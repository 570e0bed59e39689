import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { EitherAsync, Right } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { Setup } from '../setup/document/setup.js';
import { fail, print } from './fail.js';
import type { HttpCall } from './http-call.js';

const readText = (path: string): EitherAsync<TypedError, string> =>
  EitherAsync(({ throwE }) => {
    try {
      return Promise.resolve(readFileSync(path === '-' ? 0 : path, 'utf8'));
    } catch (thrown) {
      return throwE(typedError('bad-usage', `${path}: ${messageOf(thrown)}`));
    }
  });

/** The setup that a file of objects describes. */
const converted = (path: string): EitherAsync<TypedError, Setup> =>
  readText(path).chain((text) =>
    EitherAsync(async ({ liftEither }) => {
      const { convertObjects } = await import('../setup/objects/convert-objects.js');
      return liftEither(
        convertObjects(text).mapLeft((faults) => typedError('invalid-setup', 'the objects do not hold', faults)),
      );
    }),
  );

/** Prints what a node answered; the exit is 0 for done, 3 for unknown, 1 for anything else. */
const show = async (call: EitherAsync<TypedError, HttpCall>): Promise<void> => {
  const { httpCall } = await import('./http-call.js');
  (await call.chain(httpCall).run()).ifLeft(fail).ifRight(({ status, body }) => {
    print(body);
    process.exitCode = status === 200 ? 0 : status === 202 ? 3 : 1;
  });
};

const calling = (call: HttpCall): EitherAsync<TypedError, HttpCall> => EitherAsync.liftEither(Right(call));

/** Operators' commands: the setup and the list of servers. */
export const addOperatorCommands = (program: Command): void => {
  const setup = program.command('setup').description('read and change the setup of the fleet');
  setup
    .command('get')
    .description('read the newest setup')
    .requiredOption('--control <ip:port>', 'the HTTP address of a core machine')
    .action(({ control }: { readonly control: string }) =>
      show(calling({ method: 'GET', address: control, path: '/operator/setup' })),
    );
  setup
    .command('put <file>')
    .description('send a whole setup (JSON; - for standard input)')
    .requiredOption('--control <ip:port>', 'the HTTP address of a core machine')
    .option('--objects', 'the file holds Kubernetes-style objects (YAML or JSON, several documents)')
    .option('--expect <revision>', 'only if this revision is still the newest; 0 for none')
    .option('--proposal <id>', 'the id to ask after the proposal by')
    .action(
      (
        file: string,
        flags: {
          readonly control: string;
          readonly objects?: boolean;
          readonly expect?: string;
          readonly proposal?: string;
        },
      ) =>
        show(
          (flags.objects === true ? converted(file).map((made) => JSON.stringify(made)) : readText(file)).map(
            (body) => ({
              method: 'PUT',
              address: flags.control,
              path: '/operator/setup',
              body,
              headers: {
                ...(flags.expect === undefined ? {} : { 'if-match': `"${flags.expect}"` }),
                ...(flags.proposal === undefined ? {} : { 'proposal-id': flags.proposal }),
              },
            }),
          ),
        ),
    );
  setup
    .command('convert <file>')
    .description(
      'make a setup of Kubernetes-style objects (YAML or JSON, several documents; - for standard input) and print it',
    )
    .action(async (file: string) => {
      (await converted(file).run()).ifLeft(fail).ifRight(print);
    });
  setup
    .command('ask <proposal>')
    .description('ask what became of a proposal')
    .requiredOption('--control <ip:port>', 'the HTTP address of a core machine')
    .action((proposal: string, { control }: { readonly control: string }) =>
      show(calling({ method: 'GET', address: control, path: `/operator/proposals/${encodeURIComponent(proposal)}` })),
    );
  setup
    .command('withdraw <proposal>')
    .description('end the doubt about a proposal: it is decided by then, or never will be taken')
    .requiredOption('--control <ip:port>', 'the HTTP address of a core machine')
    .action((proposal: string, { control }: { readonly control: string }) =>
      show(
        calling({ method: 'DELETE', address: control, path: `/operator/proposals/${encodeURIComponent(proposal)}` }),
      ),
    );

  const list = program.command('list').description("read and send the platform's list of servers");
  list
    .command('get')
    .description('read the list that a node knows')
    .requiredOption('--node <ip:port>', 'the HTTP address of any node')
    .action(({ node }: { readonly node: string }) =>
      show(calling({ method: 'GET', address: node, path: '/platform/list' })),
    );
  list
    .command('put <file>')
    .description('send a list to a node (JSON; - for standard input)')
    .requiredOption('--node <ip:port>', 'the HTTP address of any node')
    .action((file: string, { node }: { readonly node: string }) =>
      show(readText(file).map((body) => ({ method: 'PUT', address: node, path: '/platform/list', body }))),
    );
};
