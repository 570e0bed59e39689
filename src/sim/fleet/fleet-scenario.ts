import { randomItem } from '../../common/random.js';
import { checkHistory } from '../../rehearsal/checker/check-history.js';
import { countRefusals } from '../../rehearsal/checker/check-refusals.js';
import { termsOf } from '../../rehearsal/checker/terms-of.js';
import type { History } from '../../rehearsal/history/history.js';
import { openOperator } from '../../rehearsal/stand-in/operator.js';
import { simOperatorService } from '../core/sim-operator-service.js';
import type { Setup } from '../../setup/document/setup.js';
import { sampleSetup } from '../sample-setup.js';
import type { SimRun, SimScenario } from '../sim-run.js';
import { endFleetFaults, fleetFaults, type FleetFault } from './fleet-faults.js';
import { openSimCallers } from './sim-callers.js';
import { longKinds, type SimKind } from './sim-kinds.js';
import type { SimRouter } from './sim-router.js';
import { openSimFleet, type SimFleet } from './sim-fleet.js';

const second = 1_000_000;
const warmUpUs = 8 * second;
const troubleEndsUs = 40 * second;
const endUs = troubleEndsUs + 20 * second;
/** By then every put has had its time, and what is read is the end of the story. */
const lastLookUs = endUs + 14 * second;

export type FleetSizes = {
  readonly routers: number;
  readonly models: number;
  readonly webs: number;
  readonly callsPerSecond: number;
  readonly kinds?: readonly SimKind[];
};

const openAll = (fleet: SimFleet, sizes: FleetSizes): void => {
  for (let place = 0; place < sizes.models; place += 1) fleet.openServer('model');
  for (let place = 0; place < sizes.webs; place += 1) fleet.openServer('status');
  fleet.showServers();
  for (const router of fleet.routers) router.start();
  fleet.platform.start();
};

/** An operator who changes, races, bursts, errs, and asks after what it was not told. */
const operateOn = (fleet: SimFleet, routers: number): void => {
  const { world, history, core } = fleet;
  const operator = openOperator(history, world.now, simOperatorService(core));
  let setups = 0;
  const next = (): Setup => {
    setups += 1;
    return sampleSetup(`setup-${setups}`, routers);
  };
  const change = async (): Promise<void> => {
    const revision = await operator.read();
    if (revision === undefined) return;
    const firstPut = operator.put(next(), revision);
    if (world.chance() < 0.4) void operator.put(next(), revision);
    if (world.chance() < 0.2) void operator.put({ ...next(), tiers: [] }, revision, { isFaulty: true });
    const first = await firstPut;
    if (first.outcome === 'taken' && world.chance() < 0.2)
      for (let place = 0; place < 4; place += 1) await operator.put(next(), undefined);
  };
  const again = (): void => {
    if (world.now() >= endUs) return;
    void change();
    world.after(second + world.chance() * 3 * second, again);
  };
  const lookOn = (): void => {
    if (world.now() < lastLookUs) world.after(1.5 * second, lookOn);
    void operator.read();
    void operator.settle(world.chance() < 0.5);
  };
  world.after(2 * second, again);
  world.after(3 * second, lookOn);
};

const countEnds = (history: History): Record<string, number> => {
  const counts: Record<string, number> = { calls: history.calls.length, runs: history.runs.length };
  for (const call of history.calls) counts[call.end] = (counts[call.end] ?? 0) + 1;
  for (const [name, count] of Object.entries(countRefusals(history, termsOf(sampleSetup('terms'), false, 0).serviceOf)))
    counts[`refused ${name}`] = count;
  return counts;
};

type Play = {
  readonly sizes: FleetSizes;
  readonly faults: readonly FleetFault[];
  /** Planned changes: nothing may be cut off at any time, and hardly anything refused. */
  readonly planned?: (fleet: SimFleet, told: (what: string) => void) => void;
  /** One fault in the last second before trouble ends. */
  readonly last?: (seed: number) => FleetFault | undefined;
};

const sumUp = (fleet: SimFleet, underWay: readonly string[], isPlanned: boolean): readonly string[] => [
  ...fleet.core.rules.broken(),
  ...[...checkHistory(fleet.history, termsOf(sampleSetup('terms'), isPlanned, isPlanned ? endUs : troubleEndsUs))]
    .slice(0, 9)
    .map((finding) => `${finding.rule}: ${finding.detail}`),
  ...underWay.map((running) => `every-call-ends: ${running} never ended`),
  ...(fleet.history.calls.length < 50 ? ['the fleet hardly served at all'] : []),
];

const playWith =
  ({ sizes, faults, planned, last }: Play) =>
  async (seed: number): Promise<SimRun> => {
    const fleet = openSimFleet(seed, sizes.routers);
    const callers = openSimCallers(fleet, sizes.callsPerSecond, sizes.kinds);
    const faultsTold: string[] = [];
    const told = (what: string): void => void faultsTold.push(`${Math.round(fleet.world.now() / 1000)} ms: ${what}`);
    openAll(fleet, sizes);
    operateOn(fleet, sizes.routers);
    fleet.world.after(warmUpUs, callers.start);
    const troubleOn = (): void => {
      const fault = randomItem(fleet.world.chance, faults);
      if (fault === undefined || fleet.world.now() >= troubleEndsUs) return;
      told(fault.name);
      fault.bring(fleet, callers);
      fleet.world.after(second + fleet.world.chance() * 5 * second, troubleOn);
    };
    fleet.world.after(warmUpUs + 3 * second, troubleOn);
    fleet.world.after(warmUpUs + 3 * second, () => planned?.(fleet, told));
    fleet.world.after(troubleEndsUs - fleet.world.chance() * second, () => {
      const fault = last?.(seed);
      if (fault === undefined) return;
      told(fault.name);
      fault.bring(fleet, callers);
    });
    await fleet.world.playUntil(troubleEndsUs);
    if (planned === undefined) endFleetFaults(fleet, callers);
    await fleet.world.playUntil(endUs);
    callers.stop();
    await fleet.world.playUntil(lastLookUs + 2 * second);
    for (let waited = 1; waited <= 75 && callers.underWay().length > 0; waited += 1)
      await fleet.world.playUntil(lastLookUs + (2 + waited) * second);
    return {
      broken: sumUp(fleet, callers.underWay(), planned !== undefined),
      counts: countEnds(fleet.history),
      faults: faultsTold,
    };
  };

const smallSizes: FleetSizes = { routers: 5, models: 7, webs: 2, callsPerSecond: 40 };
const archiveSizes: FleetSizes = { routers: 6, models: 13, webs: 3, callsPerSecond: 100 };
const cuencaSizes: FleetSizes = { routers: 9, models: 13, webs: 3, callsPerSecond: 90 };

type Restartable = Pick<SimRouter, 'name' | 'start' | 'terminate'> & { readonly isBack: () => boolean };

/** Replaces all servers one after another, and restarts all routers and all core machines in order, each once the former is back. */
const rollAll = (fleet: SimFleet, told: (what: string) => void): void => {
  const olds = fleet.servers().filter((server) => server.listed.service === 'model');
  const replace = (place: number): void => {
    const old = olds[place];
    if (old === undefined) return;
    told(`replace ${old.listed.id}`);
    fleet.openServer('model');
    fleet.leave(old);
    fleet.world.after(3 * second, () => replace(place + 1));
  };
  const restartEach = ([first, ...others]: readonly Restartable[]): void => {
    if (first === undefined) return;
    told(`restart ${first.name}`);
    first.terminate(() => {
      fleet.world.after(300_000, () => {
        first.start();
        const goOn = (): void => {
          if (first.isBack()) restartEach(others);
          else fleet.world.after(100_000, goOn);
        };
        goOn();
      });
    });
  };
  replace(0);
  restartEach(
    fleet.routers.map((router) => ({ ...router, isBack: () => fleet.platform.readyRouters().includes(router) })),
  );
  fleet.world.after(5 * second, () =>
    restartEach(
      fleet.core.machines.map((machine) => ({
        ...machine,
        isBack: () => {
          const tasks = machine.tasks();
          return tasks !== undefined && tasks.unready() === undefined;
        },
      })),
    ),
  );
};

/** A whole fleet under every fault. */
export const fleetScenario: SimScenario = {
  name: 'fleet',
  about: 'core, routers, servers, callers and platform under every fault of the brief, on a small fleet',
  play: playWith({ sizes: smallSizes, faults: fleetFaults }),
};

export const fleetScenarios: readonly SimScenario[] = [
  fleetScenario,
  {
    name: 'archive',
    about: "the same at the Archive's sizes and rate",
    play: playWith({ sizes: archiveSizes, faults: fleetFaults }),
  },
  {
    name: 'cuenca',
    about: "the same at Cuenca's sizes and rate",
    play: playWith({ sizes: cuencaSizes, faults: fleetFaults }),
  },
  {
    name: 'last-fault',
    about: `one fault in the last second before trouble ends, every one in turn (seeds 1-${fleetFaults.length}), and service back within twelve seconds`,
    play: playWith({ sizes: smallSizes, faults: [], last: (seed) => fleetFaults[seed % fleetFaults.length] }),
  },
  {
    name: 'rolling',
    about:
      'all model servers replaced, all routers and core machines restarted in order: nothing cut off, hardly anything refused',
    play: playWith({ sizes: smallSizes, faults: [], planned: rollAll }),
  },
  {
    name: 'rolling-long',
    about:
      'the same with streams of four, seven and eleven seconds; only what was under way for eight may be broken off',
    play: playWith({ sizes: { ...smallSizes, kinds: longKinds }, faults: [], planned: rollAll }),
  },
];
