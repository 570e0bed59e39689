import type { OpaqueResponseHead } from '../../../src/servers/link/opaque-response-head.js';
import type { ServerLink } from '../../../src/servers/link/server-link.js';
import type { ForwardHandle } from '../../../src/servers/link/forward-handle.js';
import type { OpaqueExchange } from '../../../src/router/opaque/opaque-exchange.js';
import type { OpaqueRequest } from '../../../src/servers/link/opaque-request.js';

/** What a link told of an exchange. */
export type Carried = {
  readonly head: OpaqueResponseHead | undefined;
  readonly text: string;
  readonly ending: string;
};

export const exchangeOf = (name: string, more: Partial<OpaqueExchange> = {}): OpaqueExchange => ({
  name,
  host: 'a.example',
  path: '/p/x',
  method: 'POST',
  target: '/p/x?a=%20b&&c=//',
  headers: ['Host', 'a.example', 'Ledgehill-Attempt-Id', name, 'Content-Length', '4', 'X-Own', 'One', 'x-own', 'two'],
  body: Buffer.from([0, 255, 13, 10]),
  lastEventId: undefined,
  opening: [],
  readTokens: 0,
  writeTokens: 0,
  budgetUs: 1_000_000,
  ...more,
});

export const orderOf = (name: string, more: Partial<OpaqueRequest> = {}): OpaqueRequest => ({
  exchange: exchangeOf(name),
  budgetUs: 1_234_567,
  resumeAfter: undefined,
  urgency: undefined,
  ...more,
});

/** Carries one exchange to its last word; `begun` gets the carriage, `receiving` the same with the first bytes of the body. */
export const carried = (
  link: ServerLink,
  order: OpaqueRequest,
  begun: (carriage: ForwardHandle) => void = () => undefined,
  receiving: (carriage: ForwardHandle) => void = () => undefined,
): Promise<Carried> =>
  new Promise((resolve, reject) => {
    if (link.forward === undefined) {
      reject(new Error('the link carries nothing'));
      return;
    }
    let head: OpaqueResponseHead | undefined;
    const pieces: string[] = [];
    const words: string[] = [];
    const end = (ending: string): void => {
      words.push(ending);
      setImmediate(() => resolve({ head, text: pieces.join(''), ending: words.join(' then ') }));
    };
    const carriage = link.forward(order, {
      head: (given) => {
        head = given;
      },
      data: (bytes) => {
        if (pieces.length === 0) receiving(carriage);
        pieces.push(bytes.toString('latin1'));
      },
      end: () => end('end'),
      lost: () => end('lost'),
    });
    begun(carriage);
  });
