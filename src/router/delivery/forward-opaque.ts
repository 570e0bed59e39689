import type { ByteHold } from '../../common/memory/byte-account.js';
import type { ServerLoad } from '../../decision/health/server-load.js';
import type { DeliveryError } from '../../decision/machine/event/delivery-error.js';
import type { OpaqueResponseHead } from '../../servers/link/opaque-response-head.js';
import type { OpaqueRequest } from '../../servers/link/opaque-request.js';
import type { ServerLink } from '../../servers/link/server-link.js';
import { openEventSplitter, type EventSplitter, type StreamBlock } from '../event-stream/event-splitter.js';
import { positionAfter, withUnknownPosition } from '../event-stream/stream-position.js';
import type { Continuation } from '../exchange/continuation.js';
import type { DeliveryResult } from './delivery-result.js';
import type { ResponseMemory } from './response-memory.js';

/** Callbacks of an attempt of an opaque exchange while it runs. */
export type ForwardListener = {
  /** The response has begun, or a further piece of it was forwarded. */
  readonly piece: () => void;
  /** The server reported its load in the response headers. */
  readonly load: (load: ServerLoad) => void;
};

/** Unstreamed responses up to this size are buffered whole before they are forwarded, so that a broken one can be retried. */
const maxBufferedBytes = 1 << 18;

const isSuccess = (head: OpaqueResponseHead): boolean => head.status >= 200 && head.status < 300;

/** Keeps a complete error response as the possible answer, until it is replaced or evicted, or the exchange ends. */
const keepErrorResponse = (
  { stream }: Continuation,
  head: OpaqueResponseHead,
  body: Uint8Array,
  memory: ResponseMemory,
): void => {
  stream.errorResponse?.hold.close();
  const hold: ByteHold = memory.open(() => {
    if (stream.errorResponse?.hold === hold) stream.errorResponse = undefined;
  });
  stream.errorResponse = { head, body, hold };
  hold.set(body.length);
};

/**
 * Runs one attempt of an opaque exchange over one link: forwards the response as it arrives, an event stream event by event. The
 * bytes that it holds are accounted for in `memory`. The link is closed unless the attempt is done.
 */
export const forwardOpaque = (
  continuation: Continuation,
  link: ServerLink,
  startCarriage: NonNullable<ServerLink['forward']>,
  order: OpaqueRequest,
  signal: AbortSignal,
  memory: ResponseMemory,
  { piece: onPiece, load: onLoad }: ForwardListener,
): Promise<DeliveryResult> =>
  new Promise((resolve) => {
    const { client, stream, rule } = continuation;
    const { opaque } = client;
    let buffered: Uint8Array[] = [];
    let bufferedBytes = 0;
    let head: OpaqueResponseHead | undefined;
    let splitter: EventSplitter | undefined;
    let isForwarding = false;
    let isPaused = false;
    let hasEnded = false;
    const finish = (end: DeliveryResult): void => {
      if (hasEnded) return;
      hasEnded = true;
      buffered = [];
      hold.close();
      signal.removeEventListener('abort', abort);
      if (end.type !== 'done') link.close();
      resolve(end);
    };
    const fail = (error: DeliveryError, message: string, notRun = false): void =>
      finish({ type: 'failed', error, message, notRun });
    const cancel = (error: DeliveryError, message: string): void => {
      carriage.cancel();
      fail(error, message);
    };
    const abort = (): void => {
      carriage.cancel();
      finish({ type: 'gone' });
    };
    const hold = memory.open(() => cancel('over-memory', 'evicted: the responses in flight exceed their memory'));
    const updateHold = (): void => hold.set(bufferedBytes + (splitter?.heldBytes() ?? 0));
    const write = (bytes: Uint8Array): void => {
      if (opaque === undefined || opaque.write(bytes) || isPaused) return;
      isPaused = true;
      carriage.pause();
      opaque.onDrain(() => {
        isPaused = false;
        carriage.resume();
      });
    };
    const startForwarding = (passedHead: OpaqueResponseHead): void => {
      isForwarding = true;
      if (stream.pieces === 0) opaque?.writeHead(passedHead);
      const bytesToForward = buffered;
      buffered = [];
      bufferedBytes = 0;
      bytesToForward.forEach(write);
    };
    const buffer = (bytes: Uint8Array): void => {
      buffered.push(bytes);
      bufferedBytes += bytes.length;
    };
    const forwardPiece = (passedHead: OpaqueResponseHead, chunks: readonly Uint8Array[]): void => {
      if (!isForwarding) startForwarding(passedHead);
      stream.pieces += 1;
      chunks.forEach(write);
      onPiece();
    };
    const onBlock = (passedHead: OpaqueResponseHead, block: StreamBlock): void => {
      if (hasEnded) return;
      const { chunks, hasData, id } = block;
      if (!hasData && id === undefined) {
        chunks.forEach(isForwarding ? write : buffer);
        return;
      }
      const isContinuation = !isForwarding && stream.pieces > 0;
      positionAfter(stream.position, block, isContinuation)
        .ifLeft((fault) => cancel('bad-stream', fault))
        .ifRight((position) => {
          stream.position = position;
          forwardPiece(passedHead, chunks);
        });
    };
    /** Forwards bytes of a stream whose format has no positions. */
    const forwardWithoutPosition = (passedHead: OpaqueResponseHead, bytes: Uint8Array): void => {
      stream.position = withUnknownPosition(stream.position);
      forwardPiece(passedHead, [bytes]);
    };
    const onEvents = (events: EventSplitter, bytes: Buffer): void => {
      events.put(bytes);
      const heldBytes = events.heldBytes() + bufferedBytes;
      if (heldBytes <= memory.maxEventBytes) updateHold();
      else cancel('oversized-event', `an event has more than ${memory.maxEventBytes} bytes`);
    };
    const onUnstreamedData = (givenHead: OpaqueResponseHead, bytes: Buffer): void => {
      if (isForwarding) {
        write(bytes);
        return;
      }
      buffer(bytes);
      if (bufferedBytes <= maxBufferedBytes) {
        updateHold();
        return;
      }
      if (isSuccess(givenHead) && givenHead.ran) {
        startForwarding(givenHead);
        updateHold();
        stream.position = withUnknownPosition(stream.position);
        stream.pieces += 1;
        onPiece();
      } else cancel('server-error', 'error response exceeds the buffer limit');
    };
    const carriage = startCarriage(order, {
      head: (given) => {
        if (hasEnded) return;
        head = given;
        if (given.load !== undefined) onLoad(given.load);
        if (!given.ran || !isSuccess(given)) return;
        if (!given.sealed) {
          cancel('bad-stream', 'success response without the seal of its server');
          return;
        }
        if (rule.streams === true && given.isEventStream)
          splitter = openEventSplitter(stream.pieces > 0, (block) => onBlock(given, block));
      },
      data: (bytes) => {
        if (hasEnded || head === undefined) return;
        if (splitter !== undefined) onEvents(splitter, bytes);
        else if (isSuccess(head) && head.ran && rule.streams === true) forwardWithoutPosition(head, bytes);
        else onUnstreamedData(head, bytes);
      },
      end: () => {
        if (hasEnded || head === undefined) return;
        if (!head.ran) {
          fail('turned-away', `status ${head.status}`, true);
          return;
        }
        if (!isSuccess(head)) {
          keepErrorResponse(continuation, head, Buffer.concat(buffered), memory);
          fail('server-error', `status ${head.status}`);
          return;
        }
        if ((splitter?.heldBytes() ?? 0) > 0) {
          fail('link-lost', 'the event stream ended within an event');
          return;
        }
        if (isForwarding || stream.pieces > 0) opaque?.end();
        else opaque?.whole(head, Buffer.concat(buffered));
        finish({ type: 'done', rest: Promise.resolve(true) });
      },
      lost: (message) => fail('link-lost', message),
    });
    signal.addEventListener('abort', abort, { once: true });
  });
