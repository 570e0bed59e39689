import { randomItem, type RandomSource } from '../../common/random.js';
import * as core from './faults/core-faults.js';
import type { FaultStep } from './faults/fault-step.js';
import * as links from './faults/link-faults.js';
import * as localities from './faults/locality-faults.js';
import * as nodes from './faults/node-faults.js';
import * as servers from './faults/server-faults.js';
import * as setups from './faults/setup-faults.js';
import * as traffic from './faults/traffic-faults.js';
import type { ScenarioStep } from './scenario.js';

type Trouble = readonly [name: string, act: FaultStep];

/** Troubles of one kind; two of the same kind do not begin together. */
const kinds: readonly (readonly Trouble[])[] = [
  [
    ['kill a router', nodes.killRouter],
    ['kill half of the routers', nodes.killHalf],
    ['kill all routers', nodes.killAllRouters],
    ['kill every process', nodes.killAll],
    ['restart the routers in order', nodes.rollRouters],
  ],
  [
    ['kill the leader', nodes.killLeader],
    ['freeze the leader', nodes.freezeLeader],
    ['restart the core machines in order', nodes.rollControls],
    ['the disk of the leader is slow', core.slowLeaderDisk],
    ['the disk of the leader stalls', core.stallLeaderDisk],
  ],
  [['freeze a router', nodes.freezeRouter]],
  [
    ['cut the core off', links.cutCoreOff],
    ['split the core', links.splitCore],
    ['isolate a router', links.isolateRouter],
    ['split off a locality', localities.splitLocality],
  ],
  [
    ['a server crashes', servers.crashServer],
    ['a server goes dark', servers.darkServer],
    ['a server turns grey', servers.greyServer],
    ['an address passes to another service in a freeze', servers.reuseAddress],
  ],
  [
    ['a server joins', servers.join],
    ['a server leaves', servers.leaveOne],
    ['a server leaves in its warm-up', servers.leaveInWarmUp],
    ['a server leaves in a carry-over', servers.leaveInCarryOver],
  ],
  [
    ['operators race', setups.raceOperators],
    ['the setup changes', setups.changeSetup],
    ['a burst of large setups', setups.burstOfLarge],
  ],
  [['a crowd comes', traffic.crowd]],
];

/** Only one of these in a run: a core of three bears the loss of one disk. */
const diskLosses: readonly Trouble[] = [
  ['a core machine loses its disk', core.loseDisk],
  ['a core machine moves', core.moveCore],
];

/** When troubles begin together, as shares of the running time. */
const rounds = [0.05, 0.22, 0.4] as const;
const lastRound = rounds.length - 1;
/** Within this share of the running time the troubles of a round begin one after another. */
const spread = 0.04;
/** Whether a run has a loss of a disk. */
const diskLossShare = 0.5;

const withoutOne = <T>(items: readonly T[], taken: T): readonly T[] => items.filter((item) => item !== taken);

const drawRound = (chance: RandomSource, atShare: number): readonly ScenarioStep[] => {
  const acts: ScenarioStep[] = [];
  let left = kinds;
  const count = chance() < 0.5 ? 2 : 3;
  while (acts.length < count) {
    const kind = randomItem(chance, left);
    const trouble = kind === undefined ? undefined : randomItem(chance, kind);
    if (kind === undefined || trouble === undefined) break;
    left = withoutOne(left, kind);
    const [name, act] = trouble;
    acts.push({ atShare: atShare + chance() * spread, name, act });
  }
  return acts;
};

/** Draws the troubles of a soak: two or three at a time overlap, in three rounds, and at most one disk is lost. */
export const drawSoak = (chance: RandomSource): readonly ScenarioStep[] => {
  const acts = rounds.flatMap((atShare) => drawRound(chance, atShare));
  const loss = chance() < diskLossShare ? randomItem(chance, diskLosses) : undefined;
  if (loss === undefined) return acts;
  const [name, act] = loss;
  const round = rounds[Math.floor(chance() * lastRound)] ?? rounds[0];
  return [...acts, { atShare: round + chance() * spread, name, act }];
};
