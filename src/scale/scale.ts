import { mkdtempSync, rmSync } from 'node:fs';
import { freemem, tmpdir, totalmem } from 'node:os';
import { join } from 'node:path';
import { EitherAsync } from 'purify-ts';
import { httpCall } from '../cli/http-call.js';
import { paused } from '../common/clock/paused.js';
import { steadyClock } from '../common/clock/steady-clock.js';
import { steadyNow, type Micros } from '../common/micros.js';
import { typedError, type TypedError } from '../common/typed-error.js';
import { freePorts } from '../rehearsal/launcher/free-ports.js';
import { planNode } from '../rehearsal/launcher/launch.js';
import { readNumbers } from '../rehearsal/stand-in/read-numbers.js';
import { sampleSetup } from '../sim/sample-setup.js';
import type { ListedServer } from '../servers/list/listed-server.js';
import type { Partner } from '../spread/partner/partner.js';
import { startHollow } from './hollow-process.js';
import type { HollowReport } from './hollow-word.js';
import type { SizeFigures } from './size-figures.js';

export type ScalePlan = {
  readonly nodes: number;
  readonly servers: number;
  readonly quietUs: Micros;
  readonly tell: (line: string) => void;
};

const controls = 3;
const routers = 3;
const hollowPerProcess = 20;
const mostProcesses = 200;
const processBytes = 250 << 20;
const waitUs: Micros = 60_000_000;

const sumOf = (reports: readonly HollowReport[], read: (report: HollowReport) => number): number =>
  reports.reduce((sum, report) => sum + read(report), 0);

const countsOf = (counts: Readonly<Record<string, number>>): number =>
  Object.values(counts).reduce((sum, count) => sum + count, 0);

/** Real core machines and routers among hollow nodes, and what each spends. */
export const measureSize = ({ nodes, servers, quietUs, tell }: ScalePlan): EitherAsync<TypedError, SizeFigures> =>
  EitherAsync(async ({ throwE }) => {
    const hollowCount = nodes - controls - routers;
    const processes = Math.ceil(hollowCount / hollowPerProcess);
    const needBytes = (processes + controls + routers) * processBytes;
    if (processes > mostProcesses)
      return throwE(typedError('over-rate', `${processes} processes of hollow nodes, ${mostProcesses} are the most`));
    if (needBytes > totalmem() / 2 || needBytes > freemem())
      return throwE(
        typedError('over-rate', `needs ${needBytes >> 20} MB, more than half of this machine or than is free`),
      );
    const folder = mkdtempSync(join(tmpdir(), 'ledgehill-scale-'));
    const ports = await freePorts(2 * (controls + routers) + hollowCount);
    const address = (place: number): string => `127.0.0.1:${ports[place]}`;
    const seeds = [0, 1, 2].map((place) => address(2 * place + 1));
    const real = Array.from({ length: controls + routers }, (_, place) =>
      planNode({
        node: place < controls ? `control-${place}` : `router-${place - controls}`,
        role: place < controls ? 'control' : 'router',
        locality: `locality-${place % 11}`,
        http: address(2 * place),
        partners: address(2 * place + 1),
        partnersListen: address(2 * place + 1),
        seeds,
        folder,
        tell: () => undefined,
      }),
    );
    const partners = Array.from({ length: hollowCount }, (_, place): Partner => {
      const own = address(2 * (controls + routers) + place);
      return { node: `hollow-${place}`, role: 'router', address: own, http: own, locality: `locality-${place % 11}` };
    });
    for (const node of real) node.start();
    const hollows = Array.from({ length: processes }, (_, place) =>
      startHollow(partners.slice(place * hollowPerProcess, (place + 1) * hollowPerProcess), seeds),
    );
    const reports = (): Promise<readonly HollowReport[]> => Promise.all(hollows.map((hollow) => hollow.report()));
    const until = async (isSo: (report: HollowReport) => boolean): Promise<Micros | undefined> => {
      const sinceUs = steadyNow();
      while (steadyNow() < sinceUs + waitUs) {
        if ((await reports()).every(isSo)) return steadyNow() - sinceUs;
        await paused(steadyClock, 20_000);
      }
      return undefined;
    };
    const countersOf = (http: string) =>
      httpCall({ method: 'GET', address: http, path: '/counters' })
        .map(({ body }) => readNumbers(body, ['process.cpuUs', 'process.memoryBytes', 'partners', 'setup.revision']))
        .orDefault({});
    const [control] = real;
    if (control === undefined) return throwE(typedError('bad-usage', 'no core machine'));
    try {
      const acquaintedUs = await until(({ leastPartners }) => leastPartners === nodes - 1);
      tell(`${nodes} nodes, ${processes} processes: know each other after ${acquaintedUs} us`);
      const listed = Array.from({ length: servers }, (_, place): ListedServer => ({
        id: `s${place}`,
        incarnation: 'i',
        service: 'model',
        address: `127.9.${place >> 8}.${place & 255}:9`,
        locality: `locality-${place % 11}`,
        listedAtUs: 1_000,
        state: 'up',
      }));
      const offerList = (version: number, entries: readonly ListedServer[]) =>
        httpCall({
          method: 'PUT',
          address: control.http,
          path: '/platform/list',
          body: JSON.stringify({ version, atUs: version * 1_000_000, servers: entries }),
        });
      await offerList(1, listed);
      await until(({ leastVersion }) => leastVersion >= 1);
      const sinceUs = steadyNow();
      const put = httpCall({
        method: 'PUT',
        address: control.http,
        path: '/operator/setup',
        headers: { 'if-match': '"0"', 'idempotency-key': `scale-${nodes}` },
        body: JSON.stringify(sampleSetup('scale')),
      });
      void put
        .run()
        .then((receipt) => tell(`setup: ${receipt.map(({ status }) => `status ${status}`).orDefault('no receipt')}`));
      const setupWaitUs = await until(({ leastRevision }) => leastRevision >= 1);
      const setupUs = setupWaitUs === undefined ? undefined : steadyNow() - sinceUs;
      await offerList(
        2,
        listed.map((server, place) =>
          place === 3 ? { ...server, state: 'leaving' as const, leavingAtUs: 2_000_000 } : server,
        ),
      );
      const leavingUs = await until(({ leastVersion }) => leastVersion >= 2);
      tell(`setup everywhere after ${setupUs} us, a leaving server after ${leavingUs} us; quiet for ${quietUs} us`);
      await paused(steadyClock, 5_000_000);
      const before = await reports();
      const realBefore = await Promise.all(real.map(({ http }) => countersOf(http)));
      const quietSinceUs = steadyNow();
      await paused(steadyClock, quietUs);
      const after = await reports();
      const realAfter = await Promise.all(real.map(({ http }) => countersOf(http)));
      const seconds = (steadyNow() - quietSinceUs) / 1_000_000;
      const spent = (read: (report: HollowReport) => number): number =>
        (sumOf(after, read) - sumOf(before, read)) / hollowCount / seconds;
      const lost = real[real.length - 1];
      await lost?.kill();
      const lostUs = await until(({ mostPartners }) => mostPartners <= nodes - 2);
      tell(`a lost node is known everywhere after ${lostUs} us`);
      return {
        nodes,
        hollow: hollowCount,
        processes,
        framesPerSecond: spent(({ frames }) => countsOf(frames)),
        bytesPerSecond: spent(({ bytes }) => countsOf(bytes)),
        bytesPerSecondByKind: Object.fromEntries(
          ['digest', 'inquire', 'setup', 'list'].map((kind) => [kind, spent(({ bytes }) => bytes[kind] ?? 0)]),
        ),
        coreShare: spent(({ cpuUs }) => cpuUs) / 1_000_000,
        memoryBytes: sumOf(after, ({ memoryBytes }) => memoryBytes) / hollowCount,
        real: real.map(({ node, role }, place) => ({
          node,
          role,
          coreShare:
            ((realAfter[place]?.['process.cpuUs'] ?? 0) - (realBefore[place]?.['process.cpuUs'] ?? 0)) /
            seconds /
            1_000_000,
          memoryBytes: realAfter[place]?.['process.memoryBytes'] ?? 0,
          partners: realAfter[place]?.['partners'] ?? 0,
        })),
        acquaintedUs,
        setupUs,
        leavingUs,
        lostUs,
      };
    } finally {
      for (const hollow of hollows) hollow.end();
      for (const node of real) await node.kill();
      rmSync(folder, { recursive: true, force: true });
    }
  });
