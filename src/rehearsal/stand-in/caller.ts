import { Agent, request } from 'undici';
import { object, string } from 'yup';
import { validate } from '../../common/validate.js';
import { parseJson } from '../../common/json.js';
import { monotonicNow, toMillis, type Micros } from '../../common/micros.js';
import { messageOf } from '../../common/typed-error.js';
import { parseStreamLine } from '../../router/delivery/stream-line.js';
import type { CallEnd, CallRecord } from '../history/call-record.js';
import type { History } from '../history/history.js';
import type { RehearsedNode } from './platform.js';
import { pieceText, writeWorkText } from './work-text.js';

/** What a caller wants done. */
export type Call = {
  readonly work: string;
  readonly call: string;
  readonly kind: string;
  readonly key: string | undefined;
  readonly opening: string;
  readonly pieces: number;
  readonly isModel: boolean;
};

const errorSchema = object({
  outcome: string().required(),
  error: object({ type: string().required() }).required(),
}).required();
const receiptSchema = object({ receipt: string().required() }).required();
const callBudgetUs: Micros = 70_000_000;

export const openCallers = (history: History) => {
  const agent = new Agent({ connections: 256, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

  const call = async (wanted: Call, node: RehearsedNode): Promise<CallRecord> => {
    const startUs = monotonicNow();
    const pieces: string[] = [];
    let firstPieceUs: number | undefined;
    const ended = (end: CallEnd, status: number, more: Partial<CallRecord> = {}): CallRecord => {
      const record: CallRecord = {
        work: wanted.work,
        call: wanted.call,
        kind: wanted.kind,
        key: wanted.key,
        node: node.node,
        exchange: undefined,
        startUs,
        firstPieceUs,
        endUs: monotonicNow(),
        end,
        status,
        pieces,
        wanted: wanted.pieces,
        retryAfter: undefined,
        error: undefined,
        ...more,
      };
      history.calls.push(record);
      return record;
    };
    let status = 0;
    let exchange: string | undefined;
    try {
      const receipt = await request(`http://${node.http}/exchanges`, {
        method: 'POST',
        dispatcher: agent,
        headers: {
          'content-type': 'application/json',
          ...(wanted.key === undefined ? {} : { 'idempotency-key': wanted.key }),
        },
        body: JSON.stringify({
          kind: wanted.kind,
          opening: wanted.opening,
          text: writeWorkText({ work: wanted.work, call: wanted.call, pieces: wanted.pieces }),
        }),
        signal: AbortSignal.timeout(toMillis(callBudgetUs)),
      });
      status = receipt.statusCode;
      const exchangeHeader = receipt.headers['x-exchange-id'];
      exchange = typeof exchangeHeader === 'string' ? exchangeHeader : undefined;
      if (status !== 200) {
        const retryAfter = receipt.headers['retry-after'];
        const body = await receipt.body.text();
        return parseJson(body, 'bad-message')
          .toMaybe()
          .chain((value) => validate(errorSchema, value).toMaybe())
          .caseOf({
            Just: ({ outcome, error }) =>
              ended(
                error.type === 'repeated-key' ? 'repeated' : outcome === 'refused' ? 'refused' : 'unknown',
                status,
                {
                  error: error.type,
                  retryAfter: typeof retryAfter === 'string' ? retryAfter : undefined,
                },
              ),
            Nothing: () => ended('malformed', status, { error: body.slice(0, 200) }),
          });
      }
      if (!wanted.isModel) {
        const answered = validate(receiptSchema, await receipt.body.json());
        firstPieceUs = monotonicNow();
        const isOwn = answered.map((value) => value.receipt.includes(`"${wanted.work}"`)).orDefault(false);
        return ended(isOwn ? 'complete' : 'malformed', status, { exchange });
      }
      let rest = '';
      receipt.body.setEncoding('utf8');
      for await (const chunk of receipt.body) {
        firstPieceUs ??= monotonicNow();
        rest += String(chunk);
        for (let breakPlace = rest.indexOf('\n'); breakPlace >= 0; breakPlace = rest.indexOf('\n')) {
          const line = parseStreamLine(rest.slice(0, breakPlace));
          rest = rest.slice(breakPlace + 1);
          if (line === undefined) return ended('malformed', status, { exchange });
          if (line.type === 'piece') pieces.push(line.text);
          else {
            const isWhole =
              line.pieces === pieces.length &&
              pieces.length === wanted.pieces &&
              pieces.every((text, piece) => text === pieceText(wanted.work, piece));
            return ended(isWhole ? 'complete' : 'malformed', status, { exchange });
          }
        }
      }
      return ended('cut', status, { exchange });
    } catch (thrown) {
      return ended(status === 200 ? 'cut' : 'lost', status, { exchange, error: messageOf(thrown) });
    }
  };

  return { call, close: () => agent.destroy() };
};

export type Callers = ReturnType<typeof openCallers>;
