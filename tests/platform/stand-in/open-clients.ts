import { randomBytes } from 'node:crypto';
import { Agent, Client, type Dispatcher } from 'undici';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import { delay } from '../../../src/common/clock/delay.js';
import { monotonicNow, toMillis } from '../../../src/common/micros.js';
import { messageOf } from '../../../src/common/typed-error.js';
import { standInTenant } from './documents.js';
import type { ClientTry, Seen } from './seen.js';
import { idText, placeOfId, streamText } from './server-text.js';

/** What a client wants. */
export type Wanted = {
  readonly route: string;
  readonly kind: ClientTry['kind'];
  readonly host: string;
  readonly target: string;
  readonly body: string;
  readonly budgetUs: number;
  readonly mostTries: number;
  readonly readTokens?: number;
  readonly writeTokens?: number;
  readonly opening?: string;
};

/** What a request came to in the end; a stream's events of all its tries in order. */
export type ClientEnd = {
  readonly isServed: boolean;
  readonly events: string;
  readonly tries: readonly ClientTry[];
};

const stride = 7;
/** How many connections to one node clients keep. */
const usualConnections = 16;
const ownPromises: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const endings: ReadonlySet<number> = new Set([400, 401, 404, 413, 431]);

/** The place of the last whole event; 0 without one. */
const lastPlaceIn = (body: string, events: string): number => {
  const id = [...events.matchAll(/(?:^|\n)id: (.+)\n[^]*?\n\n/g)].at(-1)?.[1];
  return id === undefined ? 0 : placeOfId(body, id);
};

/** Only whole events count as received. */
const wholeEvents = (text: string): string => text.slice(0, text.lastIndexOf('\n\n') + 2 || 0);

/** Clients that try again as the platform's page says; `pick` gives the node for a new connection. */
export const openClients = (
  seen: Seen,
  pick: (tried: readonly string[]) => string | undefined,
  connections = usualConnections,
) => {
  const agent = new Agent({
    pipelining: 1,
    connections,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: 1_000 },
  });

  const tryOnce = async (
    wanted: Wanted,
    node: string,
    dispatcher: Dispatcher,
    lastEventId: number,
    dueUs: number,
  ): Promise<readonly [ClientTry, number]> => {
    const { route, kind, target, body, readTokens = 0, writeTokens = 0 } = wanted;
    const attempt = randomBytes(8).toString('hex');
    const isStream = kind === 'stream' || kind === 'resumed';
    const base = {
      attempt,
      route,
      kind,
      node,
      method: 'POST',
      target,
      body,
      lastEventId,
      events: isStream ? Math.ceil(writeTokens / stride) : 0,
      sentUs: monotonicNow(),
    };
    let status = 0;
    let seal: string | undefined;
    let retryUs = 0;
    const chunks: Buffer[] = [];
    const ended = (whole: boolean, error?: string, isCutOff = false): readonly [ClientTry, number] => {
      const made: ClientTry = {
        ...base,
        endUs: monotonicNow(),
        status,
        seal,
        bytes: Buffer.concat(chunks).toString('latin1'),
        whole,
        error,
        isCutOff,
      };
      seen.tries.push(made);
      return [made, retryUs];
    };
    const leftUs = Math.max(1_000, dueUs - monotonicNow());
    const signal = AbortSignal.timeout(toMillis(leftUs));
    try {
      const answered = await dispatcher.request({
        origin: `http://${node}`,
        method: 'POST',
        path: target,
        headers: {
          host: wanted.host,
          'Ledgehill-Attempt-Id': attempt,
          'Ledgehill-Budget-Ms': String(Math.floor(leftUs / 1_000)),
          'X-Client': 'kept',
          Authorization: `Bearer ${standInTenant.keys[0]}`,
          'Ledgehill-Tenant': 'of-my-own-making',
          ...(isStream
            ? {
                'Ledgehill-Model': 'm',
                'Ledgehill-Token-Count': `${readTokens},${writeTokens}`,
                'Ledgehill-Prompt-Prefix': wanted.opening ?? '',
              }
            : {}),
          ...(lastEventId > 0 ? { 'Last-Event-Id': idText(body, lastEventId) } : {}),
        },
        body: Buffer.from(body, 'latin1'),
        signal,
      });
      status = answered.statusCode;
      const given = answered.headers['ledgehill-server-seal'];
      seal = typeof given === 'string' ? given : undefined;
      retryUs = Number(answered.headers['retry-after'] ?? 0) * 1_000_000;
      for await (const chunk of answered.body) if (Buffer.isBuffer(chunk)) chunks.push(chunk);
      return ended(true);
    } catch (thrown) {
      return ended(false, messageOf(thrown), status === 0 && !signal.aborted);
    }
  };

  return {
    ask: async (wanted: Wanted): Promise<ClientEnd> => {
      const dueUs = monotonicNow() + wanted.budgetUs;
      const tries: ClientTry[] = [];
      let events = '';
      while (tries.length < wanted.mostTries && monotonicNow() < dueUs) {
        const node = pick(tries.map((made) => made.node));
        if (node === undefined) break;
        const fresh =
          tries.length === 0
            ? undefined
            : new Client(`http://${node}`, { headersTimeout: 0, bodyTimeout: 0, connect: { timeout: 1_000 } });
        const [made, retryUs] = await tryOnce(wanted, node, fresh ?? agent, lastPlaceIn(wanted.body, events), dueUs);
        await fresh?.destroy();
        tries.push(made);
        if (made.status >= 200 && made.status < 300)
          events += wanted.kind === 'resumed' && !made.whole ? wholeEvents(made.bytes) : made.bytes;
        if (made.whole && made.status >= 200 && made.status < 300) return { isServed: true, events, tries };
        if (wanted.kind === 'resumed' && events === streamText(wanted.body, 0, made.events))
          return { isServed: true, events, tries };
        if (endings.has(made.status)) break;
        if ((wanted.kind === 'once' || wanted.kind === 'stream') && !(made.whole && ownPromises.has(made.status)))
          break;
        await delay(monotonicClock, Math.min(retryUs || 50_000, (dueUs - monotonicNow()) / 3));
      }
      return { isServed: false, events, tries };
    },
    close: () => agent.destroy(),
  };
};

export type Clients = ReturnType<typeof openClients>;
