import type { ClientLink } from '../delivery/client-link.js';
import type { OpaqueResponseWriter } from '../opaque/opaque-response-writer.js';
import type { GuaranteeMonitor } from './guarantee-monitor.js';

/** The response side of an exchange, wrapped with checks of the guarantees on its answer and its attempts. */
export type ExchangeMonitor = {
  /** The wrapped response side; the exchange must use it instead of the original. */
  readonly client: ClientLink;
  /** Notes that an attempt was sent to a server. */
  readonly sent: () => void;
  /** Notes that the server confirmed it did not run the last attempt. */
  readonly notRun: () => void;
  /** Whether the response is complete or has begun. */
  readonly isAnswered: () => boolean;
};

/** The exchange to which the guarantees apply. */
export type MonitoredExchange = {
  readonly exchange: string;
  /** Whether running it more than once is harmless. */
  readonly repeatable: boolean;
};

/** Wraps the response side of one exchange with checks; writes are passed on even if they violate a guarantee. */
export const monitorExchange = (
  client: ClientLink,
  { exchange, repeatable }: MonitoredExchange,
  guarantees: GuaranteeMonitor,
): ExchangeMonitor => {
  let finalAnswer: string | undefined;
  let hasBegun = false;
  /** Attempts that were sent and not confirmed as not run. */
  let mayHaveRun = 0;

  const noteWrite = (operation: string, isFinal: boolean): void => {
    if (finalAnswer !== undefined)
      guarantees.broken('one-final-answer', { exchange, first: finalAnswer, then: operation });
    hasBegun ||= !isFinal;
    if (isFinal) finalAnswer ??= operation;
  };

  const checkedWriter = (writer: OpaqueResponseWriter): OpaqueResponseWriter => ({
    writeHead: (head) => {
      noteWrite('begin', false);
      writer.writeHead(head);
    },
    write: (bytes) => {
      noteWrite('write', false);
      return writer.write(bytes);
    },
    onDrain: writer.onDrain,
    pendingBytes: writer.pendingBytes,
    abort: writer.abort,
    end: () => {
      noteWrite('end', true);
      writer.end();
    },
    whole: (head, body) => {
      noteWrite('whole', true);
      writer.whole(head, body);
    },
  });

  return {
    client: {
      ...(client.opaque === undefined ? {} : { opaque: checkedWriter(client.opaque) }),
      isGone: client.isGone,
      onGone: client.onGone,
      piece: (name, line) => {
        noteWrite('piece', false);
        return client.piece(name, line);
      },
      end: (name, pieces) => {
        noteWrite('end', true);
        client.end(name, pieces);
      },
      receipt: (name, text) => {
        noteWrite('receipt', true);
        client.receipt(name, text);
      },
      refuse: (error, name, retryAfterUs) => {
        if (hasBegun || mayHaveRun > 0)
          guarantees.broken('refused-never-ran', { exchange, error: error.type, mayHaveRun });
        noteWrite('refuse', true);
        client.refuse(error, name, retryAfterUs);
      },
      unknown: (error, facts) => {
        noteWrite('unknown', true);
        client.unknown(error, facts);
      },
      breakOff: () => {
        noteWrite('breakOff', true);
        client.breakOff();
      },
    },
    sent: () => {
      if (mayHaveRun > 0 && !repeatable) guarantees.broken('runs-once', { exchange, tries: mayHaveRun + 1 });
      mayHaveRun += 1;
    },
    notRun: () => {
      mayHaveRun = Math.max(0, mayHaveRun - 1);
    },
    isAnswered: () => hasBegun || finalAnswer !== undefined,
  };
};
