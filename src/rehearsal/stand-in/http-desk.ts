import { object, string } from 'yup';
import { validate } from '../../common/validate.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import { sendRequest, type HttpResponse, type HttpRequest } from '../../cli/http-client.js';
import type { RevisionService } from '../../process/operator/operator-service.js';
import type { OperatorReply } from '../../process/operator/operator-reply.js';
import { recordSchema } from '../../setup/check/record-schema.js';
import { readNumbers } from './read-numbers.js';

const outcomeSchema = object({ outcome: string().required() });

const wordOf = (proposal: string, { status, body }: HttpResponse): OperatorReply => {
  const { revision = 0, newest = 0 } = readNumbers(body, ['revision', 'newest']);
  const outcome = validate(outcomeSchema, body)
    .map((told) => told.outcome)
    .orDefault('');
  switch (status) {
    case 200:
      return outcome === 'void'
        ? { type: 'decided', proposal, outcome: { type: 'cancelled', revision: newest } }
        : { type: 'decided', proposal, outcome: { type: 'committed', revision } };
    case 409:
      return {
        type: 'decided',
        proposal,
        outcome: { type: outcome === 'void' ? 'cancelled' : 'conflict', revision: newest },
      };
    case 202:
      return { type: 'unknown', proposal, error: typedError('undecided', 'the core gave no last word') };
    case 422:
      return { type: 'refused', error: typedError('invalid-setup', JSON.stringify(body)) };
    default:
      return { type: 'refused', error: typedError('unreachable', `status ${status}`) };
  }
};

/** An operator's way to a core machine over HTTP. A call that breaks may have been heard. */
export const httpDesk = (address: () => string): RevisionService => {
  const told = async (proposal: string, call: Omit<HttpRequest, 'address'>): Promise<OperatorReply> =>
    (await sendRequest({ ...call, address: address() }).run()).caseOf<OperatorReply>({
      Left: (error: TypedError) => ({ type: 'unknown', proposal, error }),
      Right: (receipt) => wordOf(proposal, receipt),
    });
  return {
    read: async () =>
      (await sendRequest({ method: 'GET', address: address(), path: '/operator/setup' }).run()).caseOf<OperatorReply>({
        Left: (error) => ({ type: 'refused', error }),
        Right: ({ status, body }) => {
          if (status === 404) return { type: 'none' };
          return validate(recordSchema, body).caseOf<OperatorReply>({
            Left: () => ({ type: 'refused', error: typedError('unreachable', `status ${status}`) }),
            Right: (record) => ({ type: 'record', record }),
          });
        },
      }),
    put: (value, proposal, expected) =>
      told(proposal, {
        method: 'PUT',
        path: '/operator/setup',
        headers: { 'proposal-id': proposal, ...(expected === undefined ? {} : { 'if-match': `"${expected}"` }) },
        body: JSON.stringify(value),
      }),
    ask: (proposal) => told(proposal, { method: 'GET', path: `/operator/proposals/${proposal}` }),
    withdraw: (proposal) => told(proposal, { method: 'DELETE', path: `/operator/proposals/${proposal}` }),
  };
};
