import type { ServerLoad } from '../../decision/health/server-load.js';
import type { DeliveryError } from '../../decision/machine/event/delivery-error.js';
import type { OpaqueResponseHead } from '../../servers/link/opaque-response-head.js';
import type { OpaqueRequest } from '../../servers/link/opaque-request.js';
import type { ServerLink } from '../../servers/link/server-link.js';
import type { Continuation } from '../exchange/continuation.js';
import type { DeliveryEnd } from './delivery-end.js';

/** What a try of an opaque exchange tells while it runs. */
export type CarryEvents = {
  /** The first sign that the server works on it, or a further one. */
  readonly piece: () => void;
  /** The server has told its load. */
  readonly load: (load: ServerLoad) => void;
};

/** Receipts up to this size are taken in whole before any of it is given on, so that a broken one can be tried again. */
const mostWholeBytes = 1 << 18;

const isSuccess = (head: OpaqueResponseHead): boolean => head.status >= 200 && head.status < 300;

/** Runs one try of an opaque exchange over one link. After an error the link is closed. */
export const carry = (
  continuation: Continuation,
  link: ServerLink,
  carryOver: NonNullable<ServerLink['forward']>,
  order: OpaqueRequest,
  signal: AbortSignal,
  { piece: tellPiece, load: tellLoad }: CarryEvents,
): Promise<DeliveryEnd> =>
  new Promise((resolve) => {
    const { caller, stream, rule } = continuation;
    const { opaque } = caller;
    const keptBytes: Uint8Array[] = [];
    let keptSize = 0;
    let head: OpaqueResponseHead | undefined;
    let isPassing = false;
    let isOver = false;
    const finish = (end: DeliveryEnd): void => {
      if (isOver) return;
      isOver = true;
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
      opaque.onRoom(() => carriage.resume());
    };
    const pass = (passedHead: OpaqueResponseHead): void => {
      isPassing = true;
      if (stream.pieces === 0) opaque?.begin(passedHead);
      for (const bytes of keptBytes.splice(0)) write(bytes);
    };
    const carriage = carryOver(order, {
      head: (given) => {
        if (isOver) return;
        head = given;
        if (given.load !== undefined) tellLoad(given.load);
        if (!given.ran) return;
        if (!isSuccess(given)) return;
        if (!given.sealed) {
          carriage.cancel();
          fail('bad-stream', 'a success without the mark of its server');
        }
      },
      piece: (bytes, number) => {
        if (isOver || head === undefined) return;
        if (isSuccess(head) && head.ran && rule.streams === true) {
          if (!isPassing) pass(head);
          if (number !== undefined && stream.lastPiece !== undefined && number <= stream.lastPiece) {
            carriage.cancel();
            fail('bad-stream', `piece ${number} came after piece ${stream.lastPiece}`);
            return;
          }
          stream.lastPiece = number ?? stream.lastPiece;
          stream.pieces += 1;
          write(bytes);
          tellPiece();
          return;
        }
        if (isPassing) {
          write(bytes);
          return;
        }
        keptBytes.push(bytes);
        keptSize += bytes.length;
        if (keptSize <= mostWholeBytes) return;
        if (isSuccess(head) && head.ran) {
          pass(head);
          stream.pieces += 1;
          tellPiece();
        } else {
          carriage.cancel();
          fail('server-error', 'a refusal of no end');
        }
      },
      end: () => {
        if (isOver || head === undefined) return;
        if (!head.ran) {
          fail('turned-away', `status ${head.status}`, true);
          return;
        }
        if (!isSuccess(head)) {
          stream.refusal = { head, body: Buffer.concat(keptBytes) };
          fail('server-error', `status ${head.status}`);
          return;
        }
        if (isPassing) opaque?.end();
        else if (stream.pieces > 0) opaque?.end();
        else opaque?.whole(head, Buffer.concat(keptBytes));
        finish({ type: 'done', rest: Promise.resolve(true) });
      },
      lost: (message) => fail('link-lost', message),
    });
    signal.addEventListener('abort', abort, { once: true });
  });
