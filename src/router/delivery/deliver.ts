import type { Dispatcher } from 'undici';
import { messageOf } from '../../common/typed-error.js';
import type { DeliveryError } from '../../decision/machine/event/delivery-error.js';
import type { ServerLink } from '../../servers/link/server-link.js';
import type { Continuation } from '../exchange/continuation.js';
import { parseStreamLine } from './piece.js';

/** What a try tells while it runs. */
export type DeliveryEars = {
  readonly piece: (line: string) => Promise<boolean>;
  readonly answer: (text: string) => void;
};

/** How a try ended. */
export type DeliveryEnd =
  | { readonly type: 'done' }
  | { readonly type: 'gone' }
  | { readonly type: 'failed'; readonly error: DeliveryError; readonly message: string };

const mostAnswerBytes = 8 << 20;
const mostLineBytes = 1 << 20;

const failed = (error: DeliveryError, message: string): DeliveryEnd => ({ type: 'failed', error, message });

const readStream = async (
  continuation: Continuation,
  body: Dispatcher.ResponseData['body'],
  ears: DeliveryEars,
): Promise<DeliveryEnd> => {
  let rest = '';
  body.setEncoding('utf8');
  for await (const chunk of body) {
    rest += String(chunk);
    if (rest.length > mostLineBytes) return failed('bad-stream', 'a line of the stream is too long');
    for (let breakPlace = rest.indexOf('\n'); breakPlace >= 0; breakPlace = rest.indexOf('\n')) {
      const line = rest.slice(0, breakPlace);
      rest = rest.slice(breakPlace + 1);
      if (line === '') continue;
      const streamLine = parseStreamLine(line);
      if (streamLine === undefined) return failed('bad-stream', 'a line of the stream is of no known form');
      if (streamLine.type === 'end')
        return streamLine.pieces === continuation.stream.pieces
          ? { type: 'done' }
          : failed('bad-stream', `the stream ended after ${streamLine.pieces} pieces, ${continuation.stream.pieces} were given on`);
      if (streamLine.piece !== continuation.stream.pieces)
        return failed('bad-stream', `piece ${continuation.stream.pieces} was due, ${streamLine.piece} came`);
      if (!(await ears.piece(`${line}\n`))) return { type: 'gone' };
    }
  }
  return failed('link-lost', 'the stream broke off before its end');
};

/** Runs one try of an exchange over one confirmed link. */
export const deliver = async (
  continuation: Continuation,
  link: ServerLink,
  fromPiece: number,
  signal: AbortSignal,
  ears: DeliveryEars,
): Promise<DeliveryEnd> => {
  try {
    const answer = await link.client.request({
      method: 'POST',
      path: '/exchanges',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        exchange: continuation.exchange,
        service: continuation.rule.service,
        kind: continuation.rule.kind,
        opening: continuation.body.opening ?? '',
        text: continuation.body.text ?? '',
        fromPiece,
      }),
      signal,
    });
    if (answer.statusCode !== 200) {
      await answer.body.dump();
      return failed(answer.statusCode === 503 || answer.statusCode === 429 ? 'turned-away' : 'server-error', `status ${answer.statusCode}`);
    }
    if (continuation.isModel) {
      const end = await readStream(continuation, answer.body, ears);
      if (end.type !== 'done') link.close();
      else await answer.body.dump();
      return end;
    }
    const text = await answer.body.text();
    if (text.length > mostAnswerBytes) return failed('bad-stream', 'the answer is too large');
    ears.answer(text);
    return { type: 'done' };
  } catch (thrown) {
    link.close();
    return failed('link-lost', messageOf(thrown));
  }
};
