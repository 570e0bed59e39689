import type { Command } from 'commander';
import { array, number, object, string, type InferType } from 'yup';
import { checked } from '../common/checked.js';
import { typedError } from '../common/typed-error.js';
import { fail, print } from './fail.js';
import { httpCall } from './http-call.js';

const storySchema = object({
  exchange: string().required(),
  kind: string().required(),
  tier: string().required(),
  service: string().required(),
  setupRevision: number().required(),
  listVersion: number().required(),
  steps: array(object({ at: number().required(), what: string().required(), facts: object().required() }).required()).required(),
}).required();

type Story = InferType<typeof storySchema>;

const linesOf = (story: Story): readonly string[] => {
  const firstAt = story.steps[0]?.at ?? 0;
  return [
    `exchange ${story.exchange}`,
    `  kind ${story.kind}, tier ${story.tier}, service ${story.service}`,
    `  under setup ${story.setupRevision} and list ${story.listVersion}`,
    ...story.steps.map((step) => `  +${step.at - firstAt} us  ${step.what}  ${JSON.stringify(step.facts)}`),
  ];
};

/** Why an exchange went where it went. */
export const addExplainCommand = (program: Command): void => {
  program
    .command('explain <exchange>')
    .description('why an exchange went where it went')
    .requiredOption('--node <ip:port>', 'the HTTP address of the router that served it')
    .option('--json', 'print the story as JSON')
    .action(async (exchange: string, flags: { readonly node: string; readonly json?: boolean }) => {
      const answer = await httpCall({ method: 'GET', address: flags.node, path: `/explain/${encodeURIComponent(exchange)}` }).run();
      answer.ifLeft(fail).ifRight(({ status, body }) => {
        if (status !== 200) {
          fail(typedError('unknown-exchange', `${flags.node} keeps no story of ${exchange}`));
          return;
        }
        checked(storySchema, body)
          .ifLeft((faults) => fail(typedError('bad-message', 'the story does not hold', faults)))
          .ifRight((story) => {
            if (flags.json === true) print(story);
            else process.stdout.write(`${linesOf(story).join('\n')}\n`);
          });
      });
    });
};
