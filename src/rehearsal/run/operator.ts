import { steadyNow } from '../../common/micros.js';
import { httpCall } from '../../cli/http-call.js';
import type { Setup } from '../../setup/document/setup.js';
import type { History } from '../history/history.js';
import type { PutRecord } from '../history/setup-record.js';
import { readNumbers } from '../stand-in/read-numbers.js';

const outcomeByStatus: Readonly<Record<number, PutRecord['outcome']>> = { 200: 'taken', 202: 'unknown', 409: 'lost-race', 422: 'invalid' };

/** Puts a setup as an operator would, and writes down what was told. */
export const putSetup = async (
  history: History,
  address: string,
  setup: Setup,
  proposal: string,
  expected?: number,
): Promise<PutRecord> => {
  const askedUs = steadyNow();
  const answer = await httpCall({
    method: 'PUT',
    address,
    path: '/operator/setup',
    headers: { 'proposal-id': proposal, ...(expected === undefined ? {} : { 'if-match': `"${expected}"` }) },
    body: JSON.stringify(setup),
  }).run();
  const record: PutRecord = answer.caseOf<PutRecord>({
    Left: () => ({ proposal, expected, name: setup.name, askedUs, toldUs: steadyNow(), outcome: 'unknown', revision: undefined }),
    Right: ({ status, body }) => ({
      proposal,
      expected,
      name: setup.name,
      askedUs,
      toldUs: steadyNow(),
      outcome: outcomeByStatus[status] ?? 'refused',
      revision: readNumbers(body, ['revision']).revision,
    }),
  });
  history.puts.push(record);
  return record;
};
