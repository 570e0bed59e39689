import { randomItem } from '../common/random.js';
import type { Micros } from '../common/micros.js';
import type { DecisionPolicy } from '../decision/policy.js';
import { positionEnd, positionOf } from '../decision/ring/position.js';
import type { ListedServer } from '../servers/list/listed-server.js';
import type { Rule } from '../setup/document/rule.js';
import type { Setup } from '../setup/document/setup.js';
import { openWorld, type World } from '../sim/world/world.js';
import type { Experiment, ExperimentClass, ExperimentFault } from './deployment.js';
import { openEmulatedServer, type EmulatedServer, type ServerFault } from './emulated-server.js';
import { openEmulatedRouters } from './emulated-routers.js';
import { sendClass, type RequestEnd } from './emulated-clients.js';

/** What one play of an experiment came to. */
export type ExperimentResult = {
  /** Worth earned by worth owed: over all, in the worst two seconds, and of the worst class. */
  readonly worth: number;
  readonly worstWindow: number;
  /** The same for each two seconds, by when requests were sent. */
  readonly windows: readonly number[];
  readonly worstClass: number;
  readonly requests: number;
  readonly late: number;
  readonly refused: number;
  readonly failed: number;
  /** Arrivals at the busiest model server by their mean. */
  readonly busiest: number;
  /** Prompt tokens that model servers read, by those that requests told. */
  readonly readPart: number;
};

const secondUs = 1_000_000;
const windowUs: Micros = 2 * secondUs;
const minuteUs = 60 * secondUs;
const settleUs: Micros = 8 * secondUs;
const inLocalityUs: Micros = 200;

const localityName = (place: number, localities: number): string => `locality-${place % localities}`;

const ruleOf = (made: ExperimentClass): Rule => {
  const silenceUs = Math.max(2 * secondUs, made.targetMs * 4_000, made.gapMs * 8_000);
  return {
    kind: made.kind,
    service: made.service,
    match: { host: 'a.example', path: `/${made.kind}/` },
    tier: `p${made.tier}`,
    repeatable: made.repeatable,
    resumable: made.resumable,
    streams: made.writeTokens !== undefined,
    mostTries: made.tries,
    budgetUs: made.budgetMs * 1_000,
    targetUs: made.targetMs * 1_000,
    firstPieceUs: silenceUs,
    silenceUs,
  };
};

const setupOf = ({ services, classes }: Experiment): Setup => ({
  name: 'experiment',
  services: services.map(({ name, type, engine }) => ({
    name,
    type,
    ...(engine === undefined ? {} : { engine: { slots: engine.slots, memoryTokens: engine.memoryTokens } }),
  })),
  tiers: [...new Set(classes.map(({ tier }) => tier))]
    .sort((left, right) => left - right)
    .map((tier) => ({ name: `p${tier}`, weight: 1, share: 1 })),
  rules: classes.map(ruleOf),
  warmup: {
    vnodes: 16,
    prefixesPerRange: 100,
    paceUs: 100_000,
    boundUs: 3 * secondUs,
    settleUs: 3 * secondUs,
    staleUs: minuteUs,
  },
  flight: { boundUs: 400_000 },
  pressure: { factor: 1.25, floor: 16, slots: 2_000 },
  retry: { fraction: 0.2, fleetExtra: 100 },
  leaving: { graceUs: 300_000 },
});

const openServers = (world: World, experiment: Experiment): readonly EmulatedServer[] => {
  const workUs = new Map(experiment.classes.map(({ kind, workMs = 0 }) => [kind, workMs * 1_000]));
  return experiment.services.flatMap(({ name, servers, engine, slots = 1, queue = 0 }) =>
    Array.from({ length: servers }, (_, place) => {
      const listed: ListedServer = {
        id: `${name}-${place}`,
        incarnation: 'i1',
        service: name,
        address: `${name}-${place}:1`,
        locality: localityName(place, experiment.localities),
        listedAtUs: 0,
        state: 'up',
      };
      return openEmulatedServer({
        world,
        listed,
        engine,
        web: { slots, queue },
        workUsOf: ({ exchange }) =>
          (workUs.get(exchange.path.slice(1, -1)) ?? 0) * (0.5 + positionOf(exchange.name) / positionEnd),
      });
    }),
  );
};

const serverFaultOf = ({ kind, strength }: ExperimentFault): ServerFault | undefined => {
  switch (kind) {
    case 'dark':
    case 'crash':
      return { type: kind };
    case 'slow':
      return { type: 'slow', times: strength };
    case 'reset':
    case 'mute':
      return { type: kind, part: strength };
    case 'burst':
    case 'hot-prefix':
      return undefined;
  }
};

/** Strikes servers by chance, and takes the fault away again. */
const planFault = (world: World, servers: readonly EmulatedServer[], fault: ExperimentFault): void => {
  const serverFault = serverFaultOf(fault);
  if (serverFault === undefined) return;
  world.after(fault.atS * secondUs, () => {
    let left = servers.filter(({ listed }) => listed.service === fault.service);
    const count = Math.max(1, Math.round(left.length * fault.share));
    for (let struck = 0; struck < count; struck += 1) {
      const server = randomItem(world.chance, left);
      if (server === undefined) return;
      left = left.filter((other) => other !== server);
      server.strike(serverFault);
      world.after(fault.forS * secondUs, () => server.strike(undefined));
    }
  });
};

const worthOf = (ends: readonly RequestEnd[], classes: readonly ExperimentClass[]): number => {
  const byKind = new Map(classes.map((made) => [made.kind, made]));
  let earned = 0;
  let owed = 0;
  for (const { kind, outcome } of ends) {
    const made = byKind.get(kind);
    owed += made?.worth ?? 0;
    if (outcome === 'in-time') earned += made?.worth ?? 0;
    else if (outcome === 'late') earned += made?.lateWorth ?? 0;
  }
  return owed === 0 ? 1 : earned / owed;
};

const resultOf = (
  experiment: Experiment,
  ends: readonly RequestEnd[],
  servers: readonly EmulatedServer[],
): ExperimentResult => {
  const { classes, services } = experiment;
  const windows = new Map<number, RequestEnd[]>();
  for (const end of ends) {
    const window = Math.floor(end.sentUs / windowUs);
    windows.set(window, [...(windows.get(window) ?? []), end]);
  }
  const countOf = (outcome: RequestEnd['outcome']): number => ends.filter((end) => end.outcome === outcome).length;
  const models = new Set(services.filter(({ type }) => type === 'model').map(({ name }) => name));
  const arrivals = servers.filter(({ listed }) => models.has(listed.service)).map((server) => server.arrivals());
  const mean = arrivals.reduce((sum, count) => sum + count, 0) / Math.max(1, arrivals.length);
  const told = ends.reduce((sum, { readTokens }) => sum + readTokens, 0);
  const windowWorths = [...windows].sort(([left], [right]) => left - right).map(([, made]) => worthOf(made, classes));
  return {
    worth: worthOf(ends, classes),
    worstWindow: Math.min(...windowWorths),
    windows: windowWorths,
    worstClass: Math.min(
      ...classes.map((made) =>
        worthOf(
          ends.filter(({ kind }) => kind === made.kind),
          [made],
        ),
      ),
    ),
    requests: ends.length,
    late: countOf('late'),
    refused: countOf('refused'),
    failed: countOf('failed'),
    busiest: Math.max(...arrivals) / Math.max(1, mean),
    readPart: servers.reduce((sum, server) => sum + server.readTokens(), 0) / Math.max(1, told),
  };
};

/** Plays an experiment once: the same for the same seed and policy. */
export const playExperiment = async (
  experiment: Experiment,
  seed: number,
  policy: DecisionPolicy,
): Promise<ExperimentResult> => {
  const world = openWorld(seed);
  const servers = openServers(world, experiment);
  const setup = setupOf(experiment);
  const rules = new Map(setup.rules.map((rule) => [rule.kind, rule]));
  const routers = openEmulatedRouters({
    world,
    count: experiment.routers,
    localityOf: (place) => localityName(place, experiment.localities),
    servers,
    record: { revision: 1, takenAtUs: 0, setup, epochs: [{ sinceUs: 0, warmup: setup.warmup }] },
    list: { version: 1, atUs: minuteUs, servers: servers.map(({ listed }) => listed) },
    policy,
    delayUsBetween: (from, to) => (from === to ? inLocalityUs : experiment.crossLocalityUs),
  });
  const ends: RequestEnd[] = [];
  const endUs = experiment.seconds * secondUs;
  for (const made of experiment.classes) {
    const rule = rules.get(made.kind);
    if (rule === undefined) continue;
    sendClass(
      {
        world,
        routers,
        ruleOf: () => rule,
        faults: experiment.faults,
        clientUs: experiment.clientUs,
        endUs,
        tell: (end) => void ends.push(end),
      },
      made,
    );
  }
  for (const fault of experiment.faults) planFault(world, servers, fault);
  await world.playUntil(endUs + settleUs);
  for (const { task } of routers) task.close();
  return resultOf(experiment, ends, servers);
};
