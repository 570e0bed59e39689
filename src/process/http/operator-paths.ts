import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { OperatorService } from '../operator/operator-service.js';
import type { FinalOutcome, OperatorReply } from '../operator/operator-reply.js';
import type { HttpServer } from './http-server.js';
import { readJsonBody } from './read-body.js';
import { reply, replyError } from './reply.js';

const maxSetupBytes = 1 << 20;
const retryAfterUs: Micros = 1_000_000;

const proposalIdPattern = /^[A-Za-z0-9._-]{1,128}$/;

const expectedRevisionOf = (message: IncomingMessage): Either<TypedError, number | undefined> => {
  const ifMatch = message.headers['if-match'];
  if (ifMatch === undefined) return Right(undefined);
  const revision = /^"(\d{1,15})"$/.exec(ifMatch)?.[1];
  return revision === undefined
    ? Left(typedError('bad-exchange', 'If-Match must be one revision in quotes, "0" for none'))
    : Right(Number(revision));
};

const checkProposalId = (value: unknown): Either<TypedError, string> =>
  typeof value === 'string' && proposalIdPattern.test(value)
    ? Right(value)
    : Left(typedError('bad-exchange', 'a proposal id must be 1 to 128 letters, digits, dots, dashes or underscores'));

const statusOf = (error: TypedError): number => {
  switch (error.type) {
    case 'oversized-body':
    case 'state-full':
      return 413;
    case 'invalid-setup':
      return 422;
    case 'unreachable':
      return 503;
    default:
      return 400;
  }
};

const replyRefused = (response: ServerResponse, error: TypedError): void =>
  replyError(
    response,
    statusOf(error),
    error,
    { outcome: 'refused' },
    error.type === 'unreachable' ? retryAfterUs : undefined,
  );

const replyOutcome = (response: ServerResponse, proposal: string, outcome: FinalOutcome): void => {
  if (outcome.type === 'committed') {
    reply(response, 200, { outcome: 'taken', proposal, revision: outcome.revision }, { etag: `"${outcome.revision}"` });
    return;
  }
  const message =
    outcome.type === 'cancelled'
      ? 'the proposal was withdrawn and can never be committed'
      : `the newest revision was ${outcome.revision}, not the expected one`;
  replyError(response, 409, typedError('lost-race', message), {
    outcome: outcome.type === 'cancelled' ? 'void' : 'lost-race',
    proposal,
    newest: outcome.revision,
  });
};

const replyResult = (response: ServerResponse, result: OperatorReply): void => {
  switch (result.type) {
    case 'record':
      reply(response, 200, result.record, { etag: `"${result.record.revision}"` });
      return;
    case 'none':
      replyError(response, 404, typedError('not-found', 'no setup has been committed yet'));
      return;
    case 'decided':
      replyOutcome(response, result.proposal, result.outcome);
      return;
    case 'unknown': {
      const { proposal, error } = result;
      reply(
        response,
        202,
        { outcome: 'unknown', proposal, ask: `/operator/proposals/${proposal}`, error },
        { 'retry-after': '1' },
      );
      return;
    }
    case 'refused':
      replyRefused(response, result.error);
  }
};

/** Adds the paths of operators: put a setup, read the newest, read the outcome of a proposal or withdraw it. */
export const addOperatorPaths = ({ app }: HttpServer, operatorService: OperatorService): void => {
  app.get('/operator/setup', async (_message, response) => replyResult(response, await operatorService.read()));

  app.put('/operator/setup', async (message, response) => {
    const read = await readJsonBody(message, maxSetupBytes, 'invalid-setup').run();
    const put = read.chain((value) =>
      checkProposalId(message.headers['proposal-id'] ?? randomUUID()).chain((proposal) =>
        expectedRevisionOf(message).map((expected) => operatorService.put(value, proposal, expected)),
      ),
    );
    await put.caseOf<Promise<void>>({
      Left: (error) => Promise.resolve(replyRefused(response, error)),
      Right: async (result) => replyResult(response, await result),
    });
  });

  app.get('/operator/proposals/:proposal', async (message, response) =>
    replyResult(response, await operatorService.ask(String(message.params['proposal'] ?? ''))),
  );

  app.delete('/operator/proposals/:proposal', async (message, response) => {
    await checkProposalId(message.params['proposal']).caseOf<Promise<void>>({
      Left: (error) => Promise.resolve(replyRefused(response, error)),
      Right: async (proposal) => {
        const result = await operatorService.withdraw(proposal);
        if (result.type === 'decided' && result.outcome.type === 'cancelled')
          reply(response, 200, { outcome: 'void', proposal });
        else replyResult(response, result);
      },
    });
  });
};
