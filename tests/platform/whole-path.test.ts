import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { callEvery } from '../../src/common/clock/every.js';
import { delay } from '../../src/common/clock/delay.js';
import { monotonicClock } from '../../src/common/clock/monotonic-clock.js';
import { randomItem, seededRandom } from '../../src/common/random.js';
import { monotonicNow } from '../../src/common/micros.js';
import { archiveEngine } from '../emulator/site-figures.js';
import { allowedOf, firstDocument, places, secondDocument } from './stand-in/documents.js';
import { judge } from './stand-in/judge.js';
import { launchFleet } from './stand-in/launch-fleet.js';
import { openClients, type ClientEnd, type Wanted } from './stand-in/open-clients.js';
import { openOperator } from './stand-in/open-operator.js';
import { openPlatformServer, type PlatformServer } from './stand-in/open-platform-server.js';
import { openProvider } from './stand-in/open-provider.js';
import { openReadiness } from './stand-in/open-readiness.js';
import { openSeen, type ClientTry } from './stand-in/seen.js';
import { streamText } from './stand-in/server-text.js';
import { openEngineDesk, openWebDesk } from './stand-in/work-desk.js';

const zones = ['vault-hall', 'scan-hall', 'reading-room'] as const;
const quiesceUs = 3_000_000;
const lagUs = 300_000;

const until = async (what: string, isSo: () => boolean | Promise<boolean>, budgetUs: number): Promise<void> => {
  const dueUs = monotonicNow() + budgetUs;
  while (!(await isSo())) {
    if (monotonicNow() > dueUs) throw new Error(`not within ${budgetUs / 1_000} ms: ${what}`);
    await delay(monotonicClock, 50_000);
  }
};

test('real processes found, take a configuration, serve all kinds, and lose nothing in planned work', async () => {
  const chance = seededRandom(7);
  const seen = openSeen();
  const fleet = await launchFleet();
  const provider = openProvider({ address: fleet.providerAddress, lagUs, pageSize: 4, mostCallsASecond: 40 });
  const open = async (
    id: string,
    service: string,
    type: 'model' | 'web',
    place: number,
    address?: string,
  ): Promise<PlatformServer> =>
    openPlatformServer({
      id,
      service,
      type,
      address: address ?? (await fleet.serverAddress()),
      zone: zones[place % 3] ?? zones[0],
      slots: type === 'model' ? 64 : 6,
      desk: type === 'model' ? openEngineDesk(archiveEngine) : openWebDesk({ slots: 6, queue: 24 }, 20_000),
      seen,
    });
  const models = await Promise.all([0, 1, 2].map((place) => open(`i-m${place}`, 'readers', 'model', place)));
  const webs = await Promise.all([0, 1].map((place) => open(`i-g${place}`, 'gallery', 'web', place)));
  const offices = await Promise.all([0, 1].map((place) => open(`i-o${place}`, 'office', 'web', place)));
  const started = [...models, ...webs, ...offices];
  let servers: readonly PlatformServer[] = started;
  const show = (shown: readonly PlatformServer[]): void => {
    servers = shown;
    provider.show(shown);
  };
  const readiness = openReadiness(fleet.routers);
  const clients = openClients(seen, (tried) => {
    const ready = readiness.ready();
    return (
      randomItem(
        chance,
        ready.filter((node) => !tried.includes(node)),
      ) ?? randomItem(chance, ready)
    );
  });
  const operator = openOperator(fleet.controls.map(({ ctl }) => ctl));
  const ends: Promise<ClientEnd>[] = [];
  let endTraffic = (): void => undefined;
  let asked = 0;

  const wantedOf = (route: keyof typeof places, kind: Wanted['kind']): Wanted => {
    asked += 1;
    const { host, prefix } = places[route];
    const isStream = kind === 'stream' || kind === 'resumed';
    const size = isStream ? 2_000 : 300;
    return {
      route,
      kind,
      host,
      target: `${prefix}x${asked}?a=%20b&c=${'/'.repeat(2)}`,
      body: `${route} ${asked} ${String.fromCharCode(0, 255, 13, 10).repeat(size / 4)}`,
      budgetUs: 8_000_000,
      mostTries: 3,
      ...(isStream
        ? {
            readTokens: 1_200,
            writeTokens: 7 * (3 + (asked % 30)),
            opening: `aa:400,${(asked % 40).toString(16)}b:500,${asked.toString(16)}c:300`,
          }
        : {}),
    };
  };

  try {
    await provider.listen();
    provider.show(servers);
    for (const { launched } of [...fleet.controls, ...fleet.routers]) launched.start();
    const first = await operator.put(firstDocument, 0, 12_000_000);
    assert.is(first.status, 200, first.text);
    await until('all routers are ready', () => readiness.ready().length === 3, 8_000_000);

    endTraffic = callEvery(monotonicClock, 50_000, () => {
      ends.push(
        clients.ask(wantedOf('resumed', 'resumed')),
        clients.ask(wantedOf('stream', 'stream')),
        clients.ask(wantedOf('idem', 'idem')),
        clients.ask(wantedOf('once', 'once')),
      );
    });
    await delay(monotonicClock, 700_000);

    models[0]?.misbehave('reset', 'reset', 'surplus');
    webs[0]?.misbehave('surplus');

    const crashUs = monotonicNow();
    await webs[1]?.crash();
    const stale = await operator.put(secondDocument, 2);
    assert.is(stale.status, 412, stale.text);
    const second = await operator.put(secondDocument, 3);
    const takenUs = monotonicNow();
    assert.is(second.status, 200, second.text);
    await Promise.all(
      fleet.routers.map(async ({ edge }) => {
        const straight = openClients(seen, () => edge);
        await until(
          `${edge} serves the added route`,
          async () => (await straight.ask({ ...wantedOf('added', 'idem'), mostTries: 1 })).isServed,
          2_000_000,
        );
        await straight.close();
      }),
    );
    await until('two seconds are over', () => monotonicNow() > takenUs + 2_000_000, 3_000_000);
    const appliedUs = monotonicNow();

    const [leaving] = models;
    assert.ok(leaving !== undefined);
    leaving.drain();
    models[1]?.setWeights(2);
    const joined = await open('i-m3', 'readers', 'model', 0);
    const reused = await open('i-o2', 'office', 'web', 0, webs[1]?.address);
    show([...servers.filter((server) => server !== webs[1]), joined, reused]);
    const shownUs = monotonicNow() + lagUs;

    const [stopped] = fleet.routers;
    assert.ok(stopped !== undefined);
    const ended = stopped.launched.terminate();
    await until(
      'the joined server gets its share',
      () => seen.arrivals.some((arrival) => arrival.server === joined.id),
      6_000_000,
    );
    await until('the leaving server is quiet', () => monotonicNow() > shownUs + quiesceUs + 500_000, 5_000_000);
    assert.is(await ended, 0);
    endTraffic();
    const all = await Promise.all(ends);

    const readBack = await operator.get();
    assert.equal([readBack.status, readBack.text === secondDocument], [200, true]);

    assert.equal(judge(seen, allowedOf), []);
    const lateAtOld = seen.tries.filter(
      (made) =>
        made.route === 'idem' &&
        made.sentUs > appliedUs &&
        seen.arrivals.some((arrival) => arrival.attempt === made.attempt && arrival.service === 'gallery'),
    );
    assert.is(lateAtOld.length, 0, 'the old service got requests later than two seconds after the change');
    const lateAtLeaving = seen.arrivals.filter(
      (arrival) => arrival.server === leaving.id && arrival.atUs > shownUs + quiesceUs,
    );
    assert.is(lateAtLeaving.length, 0, 'the leaving server got requests too late');
    for (const end of all) {
      const [made] = end.tries;
      if (end.isServed && made?.kind === 'resumed')
        assert.is(end.events.replace(/ledgehill-weight-versions: \d+\n/g, ''), streamText(made.body, 0, made.events));
    }
    const brokenOff = new Set(seen.arrivals.filter((arrival) => arrival.broken).map((arrival) => arrival.attempt));
    const isServersFault = ({ attempt, route, sentUs, endUs }: ClientTry): boolean =>
      brokenOff.has(attempt) || (allowedOf(route).includes('gallery') && sentUs <= crashUs && crashUs <= endUs);
    const runsOf = (attempt: string): string =>
      seen.arrivals
        .filter((arrival) => arrival.attempt === attempt)
        .map(({ server, ran }) => `${server} ${ran}`)
        .join();
    const unserved = all.filter((end) => !end.isServed && !end.tries.some(isServersFault));
    assert.ok(all.length > 400, `${all.length} requests`);
    assert.equal(
      unserved
        .map((end) =>
          end.tries.map(
            ({ route, status, error, whole, sentUs, attempt }) =>
              `${route} ${status} ${whole} ${error} ${(sentUs - crashUs) / 1_000} ms after the crash, ran at ${runsOf(attempt)}`,
          ),
        )
        .slice(0, 20),
      [],
      `${unserved.length} of ${all.length} were not served`,
    );
    assert.ok(
      new Set(seen.tries.filter(({ status }) => status === 200).map(({ node }) => node)).size === 3,
      'every router served',
    );
    assert.is(provider.overRate(), 0);
    assert.is(models[0]?.misdeedsLeft(), 0);
  } catch (thrown) {
    console.error(fleet.logs());
    throw thrown;
  } finally {
    endTraffic();
    readiness.close();
    await clients.close();
    await fleet.close();
    provider.close();
    await Promise.all([...servers, ...models].map((server) => server.crash()));
  }
});

test.run();
