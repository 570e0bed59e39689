import { messageOf } from '../../common/typed-error.js';
import { tenantNameOf } from '../access/access.js';
import type { DeliveryError } from '../../decision/machine/event/delivery-error.js';
import type { ServerLink } from '../../servers/link/server-link.js';
import type { Continuation } from '../exchange/continuation.js';
import type { DeliveryListener } from './delivery-listener.js';
import type { DeliveryEnd } from './delivery-end.js';
import { parseStreamLine } from './piece.js';

const mostReceiptBytes = 8 << 20;
const mostLineBytes = 1 << 20;

const failed = (error: DeliveryError, message: string): DeliveryEnd => ({ type: 'failed', error, message });

/** Whether nothing more comes. */
const endOf = (body: AsyncIterator<string>): Promise<boolean> =>
  body.next().then(
    (next) => next.done === true,
    () => false,
  );

/** The lines of a body as they come whole. */
const linesOf = async function* (body: AsyncIterator<string>): AsyncGenerator<string | undefined> {
  let rest = '';
  for (let next = await body.next(); next.done !== true; next = await body.next()) {
    rest += next.value;
    if (rest.length > mostLineBytes) yield undefined;
    for (let breakPlace = rest.indexOf('\n'); breakPlace >= 0; breakPlace = rest.indexOf('\n')) {
      const line = rest.slice(0, breakPlace);
      rest = rest.slice(breakPlace + 1);
      if (line !== '') yield line;
    }
  }
};

const readStream = async (
  continuation: Continuation,
  body: AsyncIterator<string>,
  listener: DeliveryListener,
): Promise<DeliveryEnd> => {
  const lines = linesOf(body);
  for (let next = await lines.next(); next.done !== true; next = await lines.next()) {
    const line = next.value;
    const streamLine = line === undefined ? undefined : parseStreamLine(line);
    if (streamLine === undefined) return failed('bad-stream', 'a line of the stream is too long or of no known form');
    if (streamLine.type === 'end')
      return streamLine.pieces === continuation.stream.pieces
        ? { type: 'done', rest: endOf(body) }
        : failed(
            'bad-stream',
            `the stream ended after ${streamLine.pieces} pieces, ${continuation.stream.pieces} were given on`,
          );
    if (streamLine.piece !== continuation.stream.pieces)
      return failed('bad-stream', `piece ${continuation.stream.pieces} was due, ${streamLine.piece} came`);
    if (!(await listener.piece(`${line}\n`))) return { type: 'gone' };
  }
  return failed('link-lost', 'the stream broke off before its end');
};

const readReceipt = async (body: AsyncIterator<string>, listener: DeliveryListener): Promise<DeliveryEnd> => {
  let text = '';
  for (let next = await body.next(); next.done !== true; next = await body.next()) {
    text += next.value;
    if (text.length > mostReceiptBytes) return failed('bad-stream', 'the answer is too large');
  }
  listener.receipt(text);
  return { type: 'done', rest: Promise.resolve(true) };
};

/** Runs one try of an exchange over one confirmed link. After a failure the link is closed. */
export const deliver = async (
  continuation: Continuation,
  link: ServerLink,
  fromPiece: number,
  signal: AbortSignal,
  listener: DeliveryListener,
): Promise<DeliveryEnd> => {
  try {
    const { status, body } = await link.deliver(
      {
        exchange: continuation.exchange,
        service: continuation.rule.service,
        kind: continuation.rule.kind,
        opening: continuation.body.opening ?? '',
        text: continuation.body.text ?? '',
        fromPiece,
        tenant: tenantNameOf(continuation.access),
      },
      signal,
    );
    if (status !== 200) {
      link.close();
      return failed(status === 503 || status === 429 ? 'turned-away' : 'server-error', `status ${status}`);
    }
    const end = await (continuation.isModel ? readStream(continuation, body, listener) : readReceipt(body, listener));
    if (end.type !== 'done') link.close();
    return end;
  } catch (thrown) {
    link.close();
    return failed('link-lost', messageOf(thrown));
  }
};
