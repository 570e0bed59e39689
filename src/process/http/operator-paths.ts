import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { EitherAsync, Left, Right, type Either } from 'purify-ts';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { Answer } from '../../control/machine/answer.js';
import type { ProposalOutcome } from '../../control/state/proposal-outcome.js';
import { checkSetup } from '../../setup/check/check-setup.js';
import type { CoreClient } from '../core-client.js';
import type { HttpServer } from './http-server.js';
import { readJsonBody } from './read-body.js';
import { reply, replyError } from './reply.js';

const mostSetupBytes = 1 << 20;
const readBudgetUs: Micros = 2_000_000;
const proposeBudgetUs: Micros = 4_000_000;
const comeBackUs: Micros = 1_000_000;

const nameForm = /^[A-Za-z0-9._-]{1,128}$/;

const expectedOf = (message: IncomingMessage): Either<TypedError, number | undefined> => {
  const ifMatch = message.headers['if-match'];
  if (ifMatch === undefined) return Right(undefined);
  const revision = /^"(\d{1,15})"$/.exec(ifMatch)?.[1];
  return revision === undefined
    ? Left(typedError('bad-exchange', 'If-Match must be one revision in quotes, "0" for none'))
    : Right(Number(revision));
};

const proposalOf = (message: IncomingMessage): Either<TypedError, string> => {
  const given = message.headers['proposal-id'];
  if (given === undefined) return Right(randomUUID());
  return typeof given === 'string' && nameForm.test(given)
    ? Right(given)
    : Left(typedError('bad-exchange', 'Proposal-Id must be 1 to 128 letters, digits, dots, dashes or underscores'));
};

const proposalIn = (params: Readonly<Record<string, string | readonly string[]>>): string => String(params['proposal'] ?? '');

const replyOutcome = (response: ServerResponse, proposal: string, outcome: ProposalOutcome): void => {
  if (outcome.type === 'taken') {
    reply(response, 200, { outcome: 'taken', proposal, revision: outcome.revision }, { etag: `"${outcome.revision}"` });
    return;
  }
  const message =
    outcome.type === 'void' ? 'the proposal was withdrawn and never will be taken' : `revision ${outcome.revision} was the newest`;
  replyError(response, 409, typedError('lost-race', message), { outcome: outcome.type, proposal, newest: outcome.revision });
};

const replyUnknown = (response: ServerResponse, proposal: string, error: TypedError): void =>
  reply(response, 202, { outcome: 'unknown', proposal, ask: `/operator/proposals/${proposal}`, error }, { 'retry-after': '1' });

const recordOf = (answer: Answer): Extract<Answer, { readonly type: 'record' }> | undefined =>
  answer.type === 'record' ? answer : undefined;

const outcomeOf = (answer: Answer): ProposalOutcome | undefined =>
  answer.type === 'applied' && answer.outcome.type === 'proposal' ? answer.outcome.outcome : undefined;

const statusOf = (error: TypedError): number => {
  switch (error.type) {
    case 'oversized-body':
      return 413;
    case 'invalid-setup':
      return 422;
    case 'unreachable':
      return 503;
    default:
      return 400;
  }
};

/** What operators use: put a setup, read the newest, ask after a proposal or withdraw it. */
export const addOperatorPaths = ({ app }: HttpServer, core: CoreClient, platformUs: () => Micros): void => {
  const newestRevision = async (): Promise<Either<TypedError, number>> =>
    (await core.ask({ type: 'read' }, readBudgetUs)).map((answer) => recordOf(answer)?.record?.revision ?? 0);

  app.get('/operator/setup', async (_message, response) => {
    (await core.ask({ type: 'read' }, readBudgetUs))
      .ifLeft((error) => replyError(response, 503, error, {}, comeBackUs))
      .ifRight((answer) => {
        const record = recordOf(answer)?.record;
        if (record === undefined) replyError(response, 404, typedError('not-found', 'no setup has been taken yet'));
        else reply(response, 200, record, { etag: `"${record.revision}"` });
      });
  });

  app.put('/operator/setup', async (message, response) => {
    const read = await readJsonBody(message, mostSetupBytes, 'invalid-setup')
      .chain((value) =>
        EitherAsync.liftEither(checkSetup(value).mapLeft((faults) => typedError('invalid-setup', 'the setup does not hold', faults))),
      )
      .chain((setup) =>
        EitherAsync.liftEither(proposalOf(message).chain((proposal) => expectedOf(message).map((given) => ({ setup, proposal, given })))),
      )
      .chain(({ setup, proposal, given }) =>
        EitherAsync.fromPromise(async () =>
          (given === undefined ? await newestRevision() : Right(given)).map((expected) => ({ setup, proposal, expected })),
        ),
      );
    if (read.isLeft()) {
      read.ifLeft((error) => replyError(response, statusOf(error), error, {}, error.type === 'unreachable' ? comeBackUs : undefined));
      return;
    }
    await EitherAsync.liftEither(read).ifRight(async ({ setup, proposal, expected }) => {
      const asked = await core.ask({ type: 'propose', command: { type: 'setup', proposal, expected, setup, atUs: platformUs() } }, proposeBudgetUs);
      asked
        .ifLeft((error) => {
          if (error.type === 'undecided') replyUnknown(response, proposal, error);
          else replyError(response, 503, error, { outcome: 'refused', proposal }, comeBackUs);
        })
        .ifRight((answer) => {
          const outcome = outcomeOf(answer);
          if (outcome === undefined) replyUnknown(response, proposal, typedError('undecided', 'the core gave no outcome'));
          else replyOutcome(response, proposal, outcome);
        });
    });
  });

  app.get('/operator/proposals/:proposal', async (message, response) => {
    const proposal = proposalIn(message.params);
    (await core.ask({ type: 'read', proposal }, readBudgetUs))
      .ifLeft((error) => replyUnknown(response, proposal, error))
      .ifRight((answer) => {
        const outcome = recordOf(answer)?.outcome;
        if (outcome === undefined)
          replyUnknown(response, proposal, typedError('unknown-proposal', 'not decided; withdraw it with DELETE to end the doubt'));
        else replyOutcome(response, proposal, outcome);
      });
  });

  app.delete('/operator/proposals/:proposal', async (message, response) => {
    const proposal = proposalIn(message.params);
    if (!nameForm.test(proposal)) {
      replyError(response, 400, typedError('bad-exchange', 'no such form of proposal id'));
      return;
    }
    (await core.ask({ type: 'propose', command: { type: 'void', proposal } }, proposeBudgetUs))
      .ifLeft((error) => replyUnknown(response, proposal, error))
      .ifRight((answer) => {
        const outcome = outcomeOf(answer);
        if (outcome === undefined) replyUnknown(response, proposal, typedError('undecided', 'the core gave no outcome'));
        else if (outcome.type === 'void') reply(response, 200, { outcome: 'void', proposal });
        else replyOutcome(response, proposal, outcome);
      });
  });
};
