import type { ServerLoad } from '../../decision/health/server-load.js';
import type { DeliveryError } from '../../decision/machine/event/delivery-error.js';
import type { OpaqueResponseHead } from '../../servers/link/opaque-response-head.js';
import type { OpaqueRequest } from '../../servers/link/opaque-request.js';
import type { ServerLink } from '../../servers/link/server-link.js';
import type { Continuation } from '../exchange/continuation.js';
import type { DeliveryResult } from './delivery-result.js';

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

/**
 * Runs one attempt of an opaque exchange over one link: forwards the response as it arrives, without parsing it. The link is
 * closed unless the attempt is done.
 */
export const forwardOpaque = (
  continuation: Continuation,
  link: ServerLink,
  startCarriage: NonNullable<ServerLink['forward']>,
  order: OpaqueRequest,
  signal: AbortSignal,
  { piece: onPiece, load: onLoad }: ForwardListener,
): Promise<DeliveryResult> =>
  new Promise((resolve) => {
    const { client: caller, stream, rule } = continuation;
    const { opaque } = caller;
    const buffered: Uint8Array[] = [];
    let bufferedBytes = 0;
    let head: OpaqueResponseHead | undefined;
    let isForwarding = false;
    let hasEnded = false;
    const finish = (end: DeliveryResult): void => {
      if (hasEnded) return;
      hasEnded = true;
      signal.removeEventListener('abort', abort);
      if (end.type !== 'done') link.close();
      resolve(end);
    };
    const fail = (error: DeliveryError, message: string, notRun = false): void =>
      finish({ type: 'failed', error, message, notRun });
    const abort = (): void => {
      carriage.cancel();
      finish({ type: 'gone' });
    };
    const write = (bytes: Uint8Array): void => {
      if (opaque === undefined || opaque.write(bytes)) return;
      carriage.pause();
      opaque.onDrain(() => carriage.resume());
    };
    const startForwarding = (passedHead: OpaqueResponseHead): void => {
      isForwarding = true;
      if (stream.pieces === 0) opaque?.writeHead(passedHead);
      for (const bytes of buffered.splice(0)) write(bytes);
    };
    const carriage = startCarriage(order, {
      head: (given) => {
        if (hasEnded) return;
        head = given;
        if (given.load !== undefined) onLoad(given.load);
        if (!given.ran) return;
        if (!isSuccess(given)) return;
        if (!given.sealed) {
          carriage.cancel();
          fail('bad-stream', 'success response without the seal of its server');
        }
      },
      piece: (bytes, number) => {
        if (hasEnded || head === undefined) return;
        if (isSuccess(head) && head.ran && rule.streams === true) {
          if (!isForwarding) startForwarding(head);
          if (number !== undefined && stream.lastPiece !== undefined && number <= stream.lastPiece) {
            carriage.cancel();
            fail('bad-stream', `piece ${number} received after piece ${stream.lastPiece}`);
            return;
          }
          stream.lastPiece = number ?? stream.lastPiece;
          stream.pieces += 1;
          write(bytes);
          onPiece();
          return;
        }
        if (isForwarding) {
          write(bytes);
          return;
        }
        buffered.push(bytes);
        bufferedBytes += bytes.length;
        if (bufferedBytes <= maxBufferedBytes) return;
        if (isSuccess(head) && head.ran) {
          startForwarding(head);
          stream.pieces += 1;
          onPiece();
        } else {
          carriage.cancel();
          fail('server-error', 'error response exceeds the buffer limit');
        }
      },
      end: () => {
        if (hasEnded || head === undefined) return;
        if (!head.ran) {
          fail('turned-away', `status ${head.status}`, true);
          return;
        }
        if (!isSuccess(head)) {
          stream.errorResponse = { head, body: Buffer.concat(buffered) };
          fail('server-error', `status ${head.status}`);
          return;
        }
        if (isForwarding) opaque?.end();
        else if (stream.pieces > 0) opaque?.end();
        else opaque?.whole(head, Buffer.concat(buffered));
        finish({ type: 'done', rest: Promise.resolve(true) });
      },
      lost: (message) => fail('link-lost', message),
    });
    signal.addEventListener('abort', abort, { once: true });
  });
