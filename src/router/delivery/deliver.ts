import type { ByteHold } from '../../common/memory/byte-account.js';
import { messageOf } from '../../common/typed-error.js';
import { tenantNameOf } from '../access/access.js';
import type { DeliveryError } from '../../decision/machine/event/delivery-error.js';
import type { ServerLink } from '../../servers/link/server-link.js';
import type { Continuation } from '../exchange/continuation.js';
import type { DeliveryListener } from './delivery-listener.js';
import type { DeliveryResult } from './delivery-result.js';
import type { ResponseMemory } from './response-memory.js';
import { parseStreamLine } from './stream-line.js';

const maxResponseChars = 8 << 20;
const maxLineChars = 1 << 20;

const failed = (error: DeliveryError, message: string): DeliveryResult => ({ type: 'failed', error, message });

/** Resolves to whether the body ends here; false if more data follows or reading fails. */
const isAtEnd = (body: AsyncIterator<string>): Promise<boolean> =>
  body.next().then(
    (next) => next.done === true,
    () => false,
  );

/** The non-empty lines of a body; undefined in place of a line beyond the size limit. */
const linesOf = async function* (body: AsyncIterator<string>, hold: ByteHold): AsyncGenerator<string | undefined> {
  let rest = '';
  for (let next = await body.next(); next.done !== true; next = await body.next()) {
    rest += next.value;
    if (rest.length > maxLineChars) yield undefined;
    for (let newlineIndex = rest.indexOf('\n'); newlineIndex >= 0; newlineIndex = rest.indexOf('\n')) {
      const line = rest.slice(0, newlineIndex);
      rest = rest.slice(newlineIndex + 1);
      if (line !== '') yield line;
    }
    hold.set(rest.length);
  }
};

const readStream = async (
  continuation: Continuation,
  body: AsyncIterator<string>,
  hold: ByteHold,
  listener: DeliveryListener,
): Promise<DeliveryResult> => {
  const lines = linesOf(body, hold);
  for (let next = await lines.next(); next.done !== true; next = await lines.next()) {
    const line = next.value;
    const streamLine = line === undefined ? undefined : parseStreamLine(line);
    if (streamLine === undefined) return failed('bad-stream', 'malformed or oversized line in the stream');
    if (streamLine.type === 'end')
      return streamLine.pieces === continuation.stream.pieces
        ? { type: 'done', rest: isAtEnd(body) }
        : failed(
            'bad-stream',
            `the end marker counts ${streamLine.pieces} pieces, but ${continuation.stream.pieces} were forwarded`,
          );
    if (streamLine.piece !== continuation.stream.pieces)
      return failed('bad-stream', `expected piece ${continuation.stream.pieces}, got piece ${streamLine.piece}`);
    if (!(await listener.piece(`${line}\n`))) return { type: 'gone' };
  }
  return failed('link-lost', 'the stream broke off before its end');
};

const readWholeResponse = async (
  body: AsyncIterator<string>,
  hold: ByteHold,
  listener: DeliveryListener,
): Promise<DeliveryResult> => {
  let text = '';
  for (let next = await body.next(); next.done !== true; next = await body.next()) {
    text += next.value;
    hold.set(text.length);
    if (text.length > maxResponseChars) return failed('bad-stream', 'the response exceeds the size limit');
  }
  listener.receipt(text);
  return { type: 'done', rest: Promise.resolve(true) };
};

/**
 * Runs one attempt of an exchange over a connection whose server is identified. What it holds of the response is accounted for in
 * `memory`. The link is closed unless the attempt is done.
 */
export const deliver = async (
  continuation: Continuation,
  link: ServerLink,
  fromPiece: number,
  signal: AbortSignal,
  memory: ResponseMemory,
  listener: DeliveryListener,
): Promise<DeliveryResult> => {
  let isEvicted = false;
  const hold = memory.open(() => {
    isEvicted = true;
    link.close();
  });
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
    const end = await (continuation.isModel
      ? readStream(continuation, body, hold, listener)
      : readWholeResponse(body, hold, listener));
    if (end.type !== 'done') link.close();
    return end;
  } catch (error) {
    link.close();
    return isEvicted
      ? failed('over-memory', 'evicted: the responses in flight exceed their memory')
      : failed('link-lost', messageOf(error));
  } finally {
    hold.close();
  }
};
