import { mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { EitherAsync } from 'purify-ts';
import { callEvery } from '../../common/clock/every.js';
import { delay } from '../../common/clock/delay.js';
import { monotonicClock } from '../../common/clock/monotonic-clock.js';
import { monotonicNow, type Micros } from '../../common/micros.js';
import { parseJson } from '../../common/json.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import { sendRequest } from '../../cli/http-client.js';
import { checkSetup } from '../../setup/check/check-setup.js';
import type { Setup } from '../../setup/document/setup.js';
import { randomItem, seededRandom } from '../../common/random.js';
import { checkHistory } from '../checker/check-history.js';
import { termsOf } from '../checker/terms-of.js';
import { brokenPromisesOf } from '../checker/broken-promises.js';
import type { Finding } from '../checker/finding.js';
import type { Deployment } from '../deployment/deployment.js';
import { openTroubleNotes } from '../history/trouble-notes.js';
import { openHistory, type History } from '../history/history.js';
import { freePorts } from '../launcher/free-ports.js';
import { openCutRelays } from '../launcher/cut-relays.js';
import { planNode } from '../launcher/launch.js';
import type { LaunchedNode } from '../launcher/launched-node.js';
import { openCallers } from '../stand-in/caller.js';
import { usualFigures } from '../stand-in/open-server.js';
import { openPlatform } from '../stand-in/platform.js';
import { httpDesk } from '../stand-in/http-desk.js';
import { openOperator } from '../stand-in/operator.js';
import { readNumbers } from '../stand-in/read-numbers.js';
import type { RehearsalParts } from './rehearsal-parts.js';
import type { Scenario } from './scenario.js';
import { openServerPool } from './server-pool.js';
import { openTraffic } from './traffic.js';

/** How a rehearsal is to be run. */
export type RehearsalPlan = {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly seconds: number;
  readonly seed: number;
  readonly keepFolder: boolean;
  readonly tell: (line: string) => void;
};

/** What a rehearsal came to. */
export type RehearsalEnd = {
  readonly history: History;
  readonly findings: readonly Finding[];
  readonly folder: string;
  readonly serviceOf: (kind: string) => string;
  readonly servers: readonly { readonly id: string; readonly coldPrefills: number }[];
};

const localities = ['a', 'b', 'c'] as const;
const packageRoot = fileURLToPath(new URL('../../../../', import.meta.url));
const startBudgetUs = 30_000_000;
const readSpanUs: Micros = 1_000_000;

export const readExampleSetup = (path: string): EitherAsync<TypedError, Setup> =>
  EitherAsync.liftEither(
    parseJson(readFileSync(join(packageRoot, path), 'utf8'), 'invalid-setup').chain((value) =>
      checkSetup(value).mapLeft((faults) => typedError('invalid-setup', path, faults)),
    ),
  );

const pause = (spanUs: Micros): Promise<void> => delay(monotonicClock, spanUs);

const until = async (isSo: () => boolean, isHopeless: () => boolean = () => false): Promise<boolean> => {
  const dueUs = monotonicNow() + startBudgetUs;
  while (!isSo() && !isHopeless() && monotonicNow() < dueUs) await pause(50_000);
  return isSo();
};

/** Which processes ended by themselves, for the error. */
const deathsOf = (nodes: readonly LaunchedNode[]): string => {
  const deadNodes = nodes.filter((node) => !node.isRunning()).map((node) => node.node);
  return deadNodes.length === 0 ? '' : `: ${deadNodes.join(', ')} ended by itself, see its log (--keep)`;
};

/** Plays a scenario against real processes, and checks the histories afterwards. */
export const rehearse = ({
  deployment: given,
  scenario,
  seconds,
  seed,
  keepFolder,
  tell,
}: RehearsalPlan): EitherAsync<TypedError, RehearsalEnd> =>
  readExampleSetup(given.setupPath).chain((exampleSetup) =>
    EitherAsync(async ({ throwE }) => {
      const deployment = scenario.size(given);
      const setup = scenario.setup(exampleSetup);
      const folder = mkdtempSync(join(tmpdir(), 'ledgehill-'));
      const chance = seededRandom(seed);
      const history = openHistory();
      const notes = openTroubleNotes(history, monotonicNow);
      const nodeAt = (address: string): string => nodes.find((node) => node.partners === address)?.node ?? address;
      const relays = openCutRelays({
        cut: (from, to) => notes.cut(nodeAt(from), nodeAt(to)),
        heal: notes.heal,
      });
      const ports = await freePorts(3 * (3 + deployment.routers));
      const address = (place: number): string => `127.0.0.1:${ports[place]}`;
      const seeds = [0, 1, 2].map((index) => address(index * 3 + 1));
      const nodes: readonly LaunchedNode[] = Array.from({ length: 3 + deployment.routers }, (_, index) => {
        const node = index < 3 ? `control-${index + 1}` : `router-${index - 2}`;
        return planNode({
          node,
          tell: (type, what) => notes.hit(type, node, what),
          role: index < 3 ? 'control' : 'router',
          locality: localities[index % 3] ?? 'a',
          http: address(index * 3),
          partners: address(index * 3 + 1),
          partnersListen: address(index * 3 + 2),
          seeds,
          folder,
        });
      });
      for (const { node, role } of nodes) history.nodes.push({ node, role });
      const controls = nodes.slice(0, 3);
      const routers = nodes.slice(3);
      const platform = openPlatform(nodes, history, chance);
      const callers = openCallers(history);
      const serverPool = openServerPool(deployment, platform, history, usualFigures);
      const traffic = openTraffic(deployment, platform, callers, chance);
      const deskOf = (control: LaunchedNode | undefined) => httpDesk(() => control?.http ?? '');
      const operator = openOperator(
        history,
        monotonicNow,
        httpDesk(() => randomItem(chance, controls)?.http ?? ''),
      );
      const put: RehearsalParts['put'] = (wanted, expected, control = controls[0], isFaulty = false) =>
        operator.put(wanted, expected, { desk: deskOf(control), isFaulty });
      const leader: RehearsalParts['leader'] = async () => {
        for (const control of controls) {
          const receipt = await sendRequest({ method: 'GET', address: control.http, path: '/counters' }).run();
          if (receipt.map(({ body }) => readNumbers(body, ['control.leads'])['control.leads'] === 1).orDefault(false))
            return control;
        }
        return undefined;
      };
      const ready: RehearsalParts['ready'] = async (node) => {
        const boot = node.boot();
        await until(() =>
          history.watches.some((watch) => watch.node === node.node && watch.boot === boot && watch.ready),
        );
      };
      const parts: RehearsalParts = {
        deployment,
        history,
        chance,
        platform,
        serverPool,
        traffic,
        controls,
        routers,
        setup,
        relays,
        leader,
        ready,
        put,
        pause,
      };

      const endAll = async (): Promise<void> => {
        platform.close();
        await callers.close();
        for (const node of nodes) {
          node.wake();
          await node.kill();
        }
        for (const server of serverPool.servers()) server.crash();
        relays.close();
        if (keepFolder) tell(`kept: ${folder}`);
        else rmSync(folder, { recursive: true, force: true });
      };

      const hasDied = (): boolean => nodes.some((node) => !node.isRunning());

      try {
        for (const [index, node] of nodes.entries()) {
          await relays.open(node.partners, address(index * 3 + 2));
          node.start();
        }
        platform.start();
        await serverPool.open(deployment.models, 'model');
        await serverPool.open(deployment.webs, 'web');
        if (!(await until(() => controls.every((control) => platform.readyNodes().has(control.node)), hasDied)))
          return throwE(typedError('unreachable', `the core did not become ready in time${deathsOf(nodes)}`));
        const first = await put(setup, 0);
        if (first.outcome !== 'taken')
          return throwE(typedError('unreachable', `the first setup was not taken but ${first.outcome}`));
        if (!(await until(() => platform.readyRouters().length === routers.length, hasDied)))
          return throwE(typedError('unreachable', `not all routers became ready in time${deathsOf(nodes)}`));
        tell(
          `ready: ${controls.length} core machines, ${routers.length} routers, ${serverPool.servers().length} servers`,
        );

        const startedUs = monotonicNow();
        traffic.start();
        const endReading = callEvery(monotonicClock, readSpanUs, () => void operator.read());
        const drawnActs = scenario.draw?.(seededRandom(seed)) ?? [];
        const acts = [...scenario.acts, ...drawnActs].map(async (act) => {
          await pause(act.atShare * seconds * 1_000_000);
          tell(`act: ${act.name}`);
          await act.act(parts);
        });
        await pause(seconds * 1_000_000);
        await Promise.all(acts);
        await traffic.stop();
        await pause(2_500_000);
        endReading();
        await operator.settle(false);
        await operator.settle(true);
        await operator.read();
        return {
          history,
          findings: [
            ...checkHistory(
              history,
              termsOf(setup, scenario.plannedOnly, startedUs + scenario.troubleEndsShare * seconds * 1_000_000),
            ),
            ...nodes.flatMap(brokenPromisesOf),
          ],
          serviceOf: termsOf(setup, scenario.plannedOnly, 0).serviceOf,
          folder,
          servers: serverPool
            .servers()
            .map((server) => ({ id: server.listed.id, coldPrefills: server.coldPrefills() })),
        };
      } finally {
        await endAll();
      }
    }),
  );
