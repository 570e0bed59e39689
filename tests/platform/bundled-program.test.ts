import fc from 'fast-check';
import { request } from 'undici';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { monotonicNow, type Micros } from '../../src/common/micros.js';
import { openBundledFleet, type BundledFleet } from './stand-in/bundled-fleet.js';
import { places } from './stand-in/documents.js';
import type { FleetNode } from './stand-in/launch-fleet.js';
import { noStatus, type SpoiledAnswer } from './stand-in/misdeed.js';
import { openClients, type ClientEnd } from './stand-in/open-clients.js';
import { openPlatformServer, type PlatformServer } from './stand-in/open-platform-server.js';
import { openSeen } from './stand-in/seen.js';
import { openWebDesk } from './stand-in/work-desk.js';

const webFigures = { slots: 6, queue: 24 };
const webWorkUs: Micros = 20_000;
const probeSpanUs: Micros = 20_000;
const watchedUs: Micros = 3_000_000;
/** A pause this long makes requests miss the time-outs of their routes. */
const mostSilenceUs: Micros = 1_000_000;
const spoiledAnswers = 40;
const spoiledBudgetUs: Micros = 200_000;

/** How long a router was silent at most while something was done and for some time after, asked again and again. */
const longestSilence = async ({ readyz }: FleetNode, work: () => Promise<unknown>): Promise<Micros> => {
  let isDone = false;
  const working = work().finally(() => {
    isDone = true;
  });
  let doneUs = monotonicNow();
  let longestUs = 0;
  while (!isDone || monotonicNow() < doneUs + watchedUs) {
    if (!isDone) doneUs = monotonicNow();
    const askedUs = monotonicNow();
    await (await request(`http://${readyz}/ledgehill/readyz`)).body.dump();
    longestUs = Math.max(longestUs, monotonicNow() - askedUs);
    await delay(monotonicClock, probeSpanUs);
  }
  await working;
  return longestUs;
};

/** A bundled fleet with one server, and clients of its router. */
type ServedFleet = BundledFleet & {
  readonly server: PlatformServer;
  readonly ask: (target: string, budgetUs?: Micros) => Promise<ClientEnd>;
};

const openServedFleet = async (): Promise<ServedFleet> => {
  const seen = openSeen();
  const servers: PlatformServer[] = [];
  const fleet = await openBundledFleet(async (addressOf) => {
    const server = await openPlatformServer({
      id: 'i-1',
      service: 'gallery',
      type: 'web',
      address: await addressOf(),
      zone: 'vault-hall',
      slots: webFigures.slots,
      desk: openWebDesk(webFigures, webWorkUs),
      seen,
    });
    servers.push(server);
    return servers;
  });
  const [server] = servers;
  if (server === undefined) throw new Error('the fleet has no server');
  const clients = openClients(seen, () => fleet.router.edge);
  return {
    ...fleet,
    server,
    ask: (target, budgetUs = watchedUs) =>
      clients.ask({
        route: 'idem',
        kind: 'idem',
        host: places.idem.host,
        target: `${places.idem.prefix}${target}`,
        body: `${target}, configuration ${fleet.configurationStatus}`,
        budgetUs,
        mostTries: 20,
      }),
    close: async () => {
      await clients.close();
      await server.crash();
      await fleet.close();
    },
  };
};

const withBundledFleet = async (use: (fleet: ServedFleet) => Promise<void>): Promise<void> => {
  const fleet = await openServedFleet();
  try {
    assert.ok((await fleet.ask('sound')).isServed);
    await use(fleet);
    assert.ok((await fleet.ask('later')).isServed);
    assert.ok(fleet.router.launched.isRunning());
  } finally {
    await fleet.close();
  }
};

// Guards against: one spoiled answer of a server stops a router for seconds, in the bundled program alone.
test('an answer whose status line holds no status does not stop the router that reads it', () =>
  withBundledFleet(async ({ router, server, ask }) => {
    server.misbehave(noStatus);
    const silenceUs = await longestSilence(router, () => ask('spoiled'));
    assert.is(server.misdeedsLeft(), 0);
    assert.ok(silenceUs < mostSilenceUs, `the router was silent for ${silenceUs / 1_000} ms`);
  }));

const statusLine = fc.oneof(
  fc.constantFrom('HTTP/1.1 000 OK', 'HTTP/1.1 099 OK', 'HTTP/1.1 1000 OK', 'HTTP/1.1 -20 OK', 'HTTP/9.9 200 OK', ''),
  fc.integer({ min: 0, max: 999 }).map((status) => `HTTP/1.1 ${String(status).padStart(3, '0')} X`),
  fc.string({ maxLength: 40 }),
);
const spoiledField = fc.oneof(
  fc.constantFrom(
    'Content-Length: -1',
    'Content-Length: 5\r\nContent-Length: 6',
    'Content-Length: 99999999999999999999',
  ),
  fc.constantFrom(
    'Transfer-Encoding: chunked\r\nContent-Length: 5',
    'Transfer-Encoding: gzip',
    ': empty',
    'Bad Name: x',
  ),
  fc.integer({ min: 1, max: 100_000 }).map((length) => `X-Long: ${'x'.repeat(length)}`),
);
const spoiledBody = fc.oneof(
  fc.constantFrom('zz\r\nhello\r\n0\r\n\r\n', 'ffffffffffffffff\r\nhello', '5;x\r\nhel', '\0\0\0\0'),
  fc.string({ maxLength: 200 }),
);
const spoiledAnswer = fc.tuple(statusLine, spoiledField, spoiledBody).map(([line, field, body]): SpoiledAnswer => {
  const bytesOf = (fields: string): string => `${line}\r\n${fields}${field}\r\n\r\n${body}`;
  return { type: 'spoiled', bytesOf };
});

// Guards against: any other answer of a server that ends a router or stops it.
test('no spoiled answer ends the router that reads it, or stops it', () =>
  withBundledFleet(async ({ router, server, ask }) => {
    const play = async (answer: SpoiledAnswer): Promise<void> => {
      server.misbehave(answer);
      await ask('spoiled', spoiledBudgetUs);
    };
    const silenceUs = await longestSilence(router, () =>
      fc.assert(fc.asyncProperty(spoiledAnswer, play), { seed: 7, numRuns: spoiledAnswers }),
    );
    assert.ok(silenceUs < mostSilenceUs, `the router was silent for ${silenceUs / 1_000} ms`);
  }));

test.run();
