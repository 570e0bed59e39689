import { oneOf } from '../../common/chance.js';
import { checkFewRefusals, checkNoCuts, checkRecovery } from '../../rehearsal/checker/check-answers.js';
import { checkAlways } from '../../rehearsal/checker/check-history.js';
import type { History } from '../../rehearsal/history/history.js';
import { askDesk } from '../core/ask-desk.js';
import { sampleSetup } from '../sample-setup.js';
import type { SimRun, SimScenario } from '../sim-run.js';
import { endFleetFaults, fleetFaults, type FleetFault } from './fleet-faults.js';
import { openSimCallers } from './sim-callers.js';
import { openSimFleet, type SimFleet } from './sim-fleet.js';

const second = 1_000_000;
const warmUpUs = 8 * second;
const troubleEndsUs = 40 * second;
const endUs = troubleEndsUs + 20 * second;

export type FleetSizes = { readonly routers: number; readonly models: number; readonly webs: number; readonly callsPerSecond: number };

const mostRefusedShare = 0.002;

const onceKinds = new Set(['summary']);

const put = (fleet: SimFleet, name: string, expected: number, routers: number): void => {
  const askedUs = fleet.world.now();
  askDesk(fleet.core, (desk) => desk.put(sampleSetup(name, routers), name, expected), (word) => {
    const outcome = word?.type === 'decided' ? word.outcome : undefined;
    fleet.history.puts.push({
      proposal: name,
      expected,
      name,
      askedUs,
      toldUs: fleet.world.now(),
      outcome: outcome === undefined ? (word?.type === 'refused' ? 'refused' : 'unknown') : outcome.type === 'taken' ? 'taken' : 'lost-race',
      revision: outcome?.revision,
    });
  });
};

const openAll = (fleet: SimFleet, sizes: FleetSizes): void => {
  for (let place = 0; place < sizes.models; place += 1) fleet.openServer('model');
  for (let place = 0; place < sizes.webs; place += 1) fleet.openServer('status');
  fleet.showServers();
  for (const router of fleet.routers) router.start();
  fleet.platform.start();
};

const operateOn = (fleet: SimFleet, routers: number): void => {
  let proposals = 0;
  const again = (): void => {
    askDesk(fleet.core, (desk) => desk.read(), (word) => {
      if (word?.type !== 'record' && word?.type !== 'none') return;
      const revision = word.type === 'record' ? word.record.revision : 0;
      proposals += 1;
      put(fleet, `setup-${proposals}`, revision, routers);
      if (fleet.world.chance() < 0.4) {
        proposals += 1;
        put(fleet, `setup-${proposals}`, revision, routers);
      }
    });
    fleet.world.after(second + fleet.world.chance() * 3 * second, again);
  };
  fleet.world.after(2 * second, again);
};

const countEnds = (history: History): Record<string, number> => {
  const counts: Record<string, number> = { calls: history.calls.length, runs: history.runs.length };
  for (const call of history.calls) {
    counts[call.end] = (counts[call.end] ?? 0) + 1;
    if (call.end === 'refused') counts[`refused.${call.error}`] = (counts[`refused.${call.error}`] ?? 0) + 1;
  }
  return counts;
};

type Play = {
  readonly sizes: FleetSizes;
  readonly faults: readonly FleetFault[];
  /** Planned changes: nothing may be cut off at any time, and hardly anything refused. */
  readonly planned?: (fleet: SimFleet, told: (what: string) => void) => void;
};

const sumUp = (fleet: SimFleet, underWay: readonly string[], isPlanned: boolean): readonly string[] => [
  ...fleet.core.rules.broken(),
  ...[
    ...checkAlways(fleet.history, onceKinds),
    ...checkRecovery(fleet.history, troubleEndsUs),
    ...(isPlanned ? [...checkNoCuts(fleet.history), ...checkFewRefusals(fleet.history, mostRefusedShare)] : []),
  ]
    .slice(0, 9)
    .map((finding) => `${finding.rule}: ${finding.detail}`),
  ...underWay.map((running) => `every-call-ends: ${running} never ended`),
  ...(fleet.history.calls.length < 50 ? ['the fleet hardly served at all'] : []),
];

const playWith =
  ({ sizes, faults, planned }: Play) =>
  async (seed: number): Promise<SimRun> => {
    const fleet = openSimFleet(seed, sizes.routers);
    const callers = openSimCallers(fleet, sizes.callsPerSecond);
    const faultsTold: string[] = [];
    const told = (what: string): void => void faultsTold.push(`${Math.round(fleet.world.now() / 1000)} ms: ${what}`);
    openAll(fleet, sizes);
    operateOn(fleet, sizes.routers);
    fleet.world.after(warmUpUs, callers.start);
    const troubleOn = (): void => {
      const fault = oneOf(fleet.world.chance, faults);
      if (fault === undefined || fleet.world.now() >= troubleEndsUs) return;
      told(fault.name);
      fault.bring(fleet, callers);
      fleet.world.after(second + fleet.world.chance() * 5 * second, troubleOn);
    };
    fleet.world.after(warmUpUs + 3 * second, troubleOn);
    fleet.world.after(warmUpUs + 3 * second, () => planned?.(fleet, told));
    await fleet.world.playUntil(troubleEndsUs);
    if (planned === undefined) endFleetFaults(fleet, callers);
    await fleet.world.playUntil(endUs);
    callers.stop();
    for (let waited = 1; waited <= 75 && callers.underWay().length > 0; waited += 1) await fleet.world.playUntil(endUs + waited * second);
    return { broken: sumUp(fleet, callers.underWay(), planned !== undefined), counts: countEnds(fleet.history), faults: faultsTold };
  };

const smallSizes: FleetSizes = { routers: 5, models: 7, webs: 2, callsPerSecond: 40 };
const archiveSizes: FleetSizes = { routers: 6, models: 13, webs: 3, callsPerSecond: 100 };
const cuencaSizes: FleetSizes = { routers: 9, models: 13, webs: 3, callsPerSecond: 90 };

/** Replaces all servers one after another, and restarts all routers in order, each once the former is back. */
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
  const restart = (place: number): void => {
    const router = fleet.routers[place];
    if (router === undefined) return;
    told(`restart ${router.name}`);
    router.terminate(() => {
      fleet.world.after(300_000, () => {
        router.start();
        const goOn = (): void => {
          if (fleet.platform.readyRouters().includes(router)) restart(place + 1);
          else fleet.world.after(100_000, goOn);
        };
        goOn();
      });
    });
  };
  replace(0);
  restart(0);
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
    name: 'rolling',
    about: 'all model servers replaced and all routers restarted in order: nothing cut off, hardly anything refused',
    play: playWith({ sizes: smallSizes, faults: [], planned: rollAll }),
  },
];
