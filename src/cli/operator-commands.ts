import { readFileSync } from 'node:fs';
import type { Command } from 'commander';
import { EitherAsync, Right } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { Setup } from '../setup/document/setup.js';
import { reportError, printJson } from './fail.js';
import type { HttpRequest } from './http-client.js';

const readText = (path: string): EitherAsync<TypedError, string> =>
  EitherAsync(({ throwE }) => {
    try {
      return Promise.resolve(readFileSync(path === '-' ? 0 : path, 'utf8'));
    } catch (thrown) {
      return throwE(typedError('bad-usage', `${path}: ${messageOf(thrown)}`));
    }
  });

/** Converts a file of Kubernetes-style objects to a setup. */
const convertFile = (path: string): EitherAsync<TypedError, Setup> =>
  readText(path).chain((text) =>
    EitherAsync(async ({ liftEither }) => {
      const { convertObjects } = await import('../setup/objects/convert-objects.js');
      return liftEither(
        convertObjects(text).mapLeft((faults) => typedError('invalid-setup', 'invalid setup objects', faults)),
      );
    }),
  );

/**
 * Sends a request and prints the response body. The exit code is 0 for status 200, 3 for 202 (outcome unknown), else 1.
 */
const sendAndPrint = async (call: EitherAsync<TypedError, HttpRequest>): Promise<void> => {
  const { sendRequest: httpCall } = await import('./http-client.js');
  (await call.chain(httpCall).run()).ifLeft(reportError).ifRight(({ status, body }) => {
    printJson(body);
    process.exitCode = status === 200 ? 0 : status === 202 ? 3 : 1;
  });
};

const requestOf = (call: HttpRequest): EitherAsync<TypedError, HttpRequest> => EitherAsync.liftEither(Right(call));

/** Adds the commands of operators: `setup` and `list`. */
export const addOperatorCommands = (program: Command): void => {
  const setup = program.command('setup').description('read and change the configuration (setup) of the fleet');
  setup
    .command('get')
    .description('print the current setup')
    .requiredOption('--control <ip:port>', 'the HTTP address of a control node')
    .action(({ control }: { readonly control: string }) =>
      sendAndPrint(requestOf({ method: 'GET', address: control, path: '/operator/setup' })),
    );
  setup
    .command('put <file>')
    .description('replace the setup (JSON; - for standard input)')
    .requiredOption('--control <ip:port>', 'the HTTP address of a control node')
    .option('--objects', 'the file holds Kubernetes-style objects (YAML or JSON, several documents)')
    .option('--expect <revision>', 'apply only if this is the current revision; 0 if there is none')
    .option('--proposal <id>', 'the id of this proposal, for setup ask and setup withdraw')
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
        sendAndPrint(
          (flags.objects === true
            ? convertFile(file).map((converted) => JSON.stringify(converted))
            : readText(file)
          ).map((body) => ({
            method: 'PUT',
            address: flags.control,
            path: '/operator/setup',
            body,
            headers: {
              ...(flags.expect === undefined ? {} : { 'if-match': `"${flags.expect}"` }),
              ...(flags.proposal === undefined ? {} : { 'proposal-id': flags.proposal }),
            },
          })),
        ),
    );
  setup
    .command('convert <file>')
    .description(
      'convert Kubernetes-style objects (YAML or JSON, several documents; - for standard input) to a setup and print it',
    )
    .action(async (file: string) => {
      (await convertFile(file).run()).ifLeft(reportError).ifRight(printJson);
    });
  setup
    .command('ask <proposal>')
    .description('print the outcome of a proposal')
    .requiredOption('--control <ip:port>', 'the HTTP address of a control node')
    .action((proposal: string, { control }: { readonly control: string }) =>
      sendAndPrint(
        requestOf({ method: 'GET', address: control, path: `/operator/proposals/${encodeURIComponent(proposal)}` }),
      ),
    );
  setup
    .command('withdraw <proposal>')
    .description('settle a proposal of unknown outcome: afterwards it is either decided or can never be committed')
    .requiredOption('--control <ip:port>', 'the HTTP address of a control node')
    .action((proposal: string, { control }: { readonly control: string }) =>
      sendAndPrint(
        requestOf({ method: 'DELETE', address: control, path: `/operator/proposals/${encodeURIComponent(proposal)}` }),
      ),
    );

  const list = program.command('list').description("read and send the platform's server list");
  list
    .command('get')
    .description('print the server list known to a node')
    .requiredOption('--node <ip:port>', 'the HTTP address of any node')
    .action(({ node }: { readonly node: string }) =>
      sendAndPrint(requestOf({ method: 'GET', address: node, path: '/platform/list' })),
    );
  list
    .command('put <file>')
    .description('send a server list to a node (JSON; - for standard input)')
    .requiredOption('--node <ip:port>', 'the HTTP address of any node')
    .action((file: string, { node }: { readonly node: string }) =>
      sendAndPrint(readText(file).map((body) => ({ method: 'PUT', address: node, path: '/platform/list', body }))),
    );
};
