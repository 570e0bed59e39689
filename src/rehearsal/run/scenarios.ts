import { monotonicNow } from '../../common/micros.js';
import type { Setup } from '../../setup/document/setup.js';
import type { KindTraffic } from '../deployment/kind-traffic.js';
import type { Deployment } from '../deployment/deployment.js';
import * as core from './faults/core-faults.js';
import type { FaultStep } from './faults/fault-step.js';
import * as links from './faults/link-faults.js';
import * as localities from './faults/locality-faults.js';
import * as nodes from './faults/node-faults.js';
import * as servers from './faults/server-faults.js';
import * as setups from './faults/setup-faults.js';
import * as traffic from './faults/traffic-faults.js';
import type { Scenario, ScenarioStep } from './scenario.js';
import { drawSoak } from './soak.js';

const second = 1_000_000;

/** Nothing but planned changes: nothing may be cut off, hardly anything refused, at any time. */
const planned = { plannedOnly: true, troubleEndsShare: 1 } as const;

const asGiven = (deployment: Deployment): Deployment => deployment;

const smaller = (deployment: Deployment): Deployment => ({
  ...deployment,
  routers: 3,
  models: 5,
  webs: 2,
  exchangesPerSecond: 45,
});

/** Few openings, each long: the traffic in which a cold join hurts. */
const fewLongOpenings = (deployment: Deployment): Deployment => ({
  ...deployment,
  kinds: deployment.kinds.map((kind) => ({
    ...kind,
    openings: Math.min(kind.openings, 30),
    openingBytes: kind.openingBytes * 4,
  })),
});

const joinThree: ScenarioStep['act'] = async ({ serverPool, history }) => {
  for (const joiner of await serverPool.open(3, 'model'))
    history.joins.push({ server: joiner.listed.id, atUs: monotonicNow() });
};

const joining = (name: string, about: string, setup: (setup: Setup) => Setup): Scenario => ({
  name,
  about,
  seconds: 60,
  ...planned,
  size: fewLongOpenings,
  setup,
  acts: [{ atShare: 0.33, name: 'three join', act: joinThree }],
});

const coldFigures = (setup: Setup): Setup => ({ ...setup, warmup: { ...setup.warmup, boundUs: 0, settleUs: 0 } });

const quickWarmup = (setup: Setup): Setup => ({
  ...setup,
  warmup: { ...setup.warmup, boundUs: 6 * second, settleUs: 4 * second },
});

/** Streams of about three, seven and nine seconds; the longest only where a stream may be resumed. */
const longOnes = (kind: KindTraffic): readonly KindTraffic[] =>
  [130, 320, ...(kind.runsOnce ? [] : [420])].map((pieces) => ({ ...kind, share: kind.share * 0.05, pieces }));

const withLongStreams = (deployment: Deployment): Deployment => ({
  ...deployment,
  kinds: deployment.kinds.flatMap((kind) =>
    kind.isModel ? [{ ...kind, share: kind.share * 0.8 }, ...longOnes(kind)] : [kind],
  ),
});

const rolling = (name: string, about: string, seconds: number, size: Scenario['size']): Scenario => ({
  name,
  about,
  seconds,
  ...planned,
  size,
  setup: quickWarmup,
  acts: [
    { atShare: 0.08, name: 'roll servers', act: servers.rollServers },
    { atShare: 0.1, name: 'roll routers', act: nodes.rollRouters },
    { atShare: 0.72, name: 'roll core machines', act: nodes.rollControls },
  ],
});

/** Four faults one after another in the first part of the time, and then time to come back. */
const faulty = (name: string, about: string, faults: readonly (readonly [string, FaultStep])[]): Scenario => ({
  name,
  about,
  seconds: 75,
  plannedOnly: false,
  troubleEndsShare: 0.72,
  size: asGiven,
  setup: quickWarmup,
  acts: faults.map(([actName, act], place) => ({ atShare: 0.08 + place * 0.15, name: actName, act })),
});

/** Every scenario that `rehearse` knows. */
export const scenarios: readonly Scenario[] = [
  {
    name: 'short',
    about: 'a small fleet for a few seconds: one server joins, one leaves, the setup changes',
    seconds: 12,
    ...planned,
    size: smaller,
    setup: (setup) => ({
      ...setup,
      fleet: { routers: 3 },
      warmup: { ...setup.warmup, boundUs: 3 * second, settleUs: 2 * second },
    }),
    acts: [
      { atShare: 0.1, name: 'join', act: servers.join },
      { atShare: 0.2, name: 'leave', act: servers.leaveOne },
      { atShare: 0.5, name: 'setup change', act: setups.changeSetup },
    ],
  },
  {
    name: 'steady',
    about: 'the whole deployment: servers join and leave, the setup changes',
    seconds: 180,
    ...planned,
    size: asGiven,
    setup: (setup) => setup,
    acts: [
      { atShare: 0.15, name: 'join', act: servers.join },
      { atShare: 0.4, name: 'setup change', act: setups.changeSetup },
      { atShare: 0.5, name: 'leave', act: servers.leaveOne },
      { atShare: 0.65, name: 'join again', act: servers.join },
    ],
  },
  joining('join-warm', 'one server joins, with warm-up, single-flight and pace', (setup) => setup),
  joining('join-cold', 'one server joins cold: no warm-up, no pace, no waiting behind a prefill', (setup) => ({
    ...coldFigures(setup),
    flight: { boundUs: 0 },
  })),
  joining('join-flight', 'one server joins without warm-up and pace, but behind single-flight', coldFigures),
  rolling(
    'rolling',
    'every model server is replaced and every router and core machine restarted, in turn and in order',
    90,
    asGiven,
  ),
  rolling(
    'rolling-long',
    'the same with streams of three to nine seconds; only what was under way for eight may be broken off',
    100,
    withLongStreams,
  ),
  faulty('kills', 'routers killed alone and half of them at once, the leader of the core killed', [
    ['kill a router', nodes.killRouter],
    ['kill the leader', nodes.killLeader],
    ['kill half of the routers', nodes.killHalf],
    ['change the setup', setups.changeSetup],
  ]),
  faulty('freezes', 'routers and the leader of the core freeze and wake', [
    ['freeze a router', nodes.freezeRouter],
    ['freeze the leader', nodes.freezeLeader],
    ['an address passes to another service in a freeze', servers.reuseAddress],
    ['change the setup', setups.changeSetup],
  ]),
  faulty('servers', 'model servers crash, go dark alone and all together; a server joins', [
    ['a server crashes', servers.crashServer],
    ['a server goes dark', servers.darkServer],
    ['a server joins', servers.join],
    ['all model servers go dark', servers.allDark],
  ]),
  faulty('cuts', 'the core is cut off and split, a router is isolated, while the setup changes', [
    ['cut the core off', links.cutCoreOff],
    ['split the core', links.splitCore],
    ['change the setup', setups.changeSetup],
    ['isolate a router', links.isolateRouter],
  ]),
  faulty('core', 'a core machine comes back empty, operators race, put bursts, a large and a faulty setup', [
    ['operators race', setups.raceOperators],
    ['a core machine loses its disk', core.loseDisk],
    ['operators race again', setups.raceOperators],
    ['kill the leader', nodes.killLeader],
  ]),
  faulty('disks', "the leader's disk is slow, stalls, is full; the setup changes meanwhile", [
    ['the disk of the leader is slow', core.slowLeaderDisk],
    ['change the setup', setups.changeSetup],
    ['the disk of the leader stalls', core.stallLeaderDisk],
    ['the disk of the leader is full', core.fillDisk],
  ]),
  faulty('moves', 'a core machine comes back empty at a new address, seeds move, a server leaves in a split', [
    ['a core machine moves', core.moveCore],
    ['change the setup', setups.changeSetup],
    ['a server leaves in a split', links.leaveInSplit],
    ['kill the leader', nodes.killLeader],
  ]),
  faulty('crowd', 'traffic jumps to three times, most of it on one opening, and one last fault', [
    ['a crowd on one opening', traffic.crowd],
    ['a server crashes', servers.crashServer],
    ['another crowd', traffic.crowd],
    ['kill a router', nodes.killRouter],
  ]),
  faulty('localities', 'one locality of three is lost whole, then split off, while the setup changes', [
    ['a locality is lost', localities.loseLocality],
    ['change the setup', setups.changeSetup],
    ['a locality is split off', localities.splitLocality],
    ['change the setup again', setups.changeSetup],
  ]),
  faulty('many', 'all routers killed at once, then every process of the fleet, then two faults at a time', [
    ['kill all routers', nodes.killAllRouters],
    ['kill every process', nodes.killAll],
    ['split the core and kill a router', links.splitAndKill],
    ['kill the leader and a router', nodes.killLeaderAndRouter],
  ]),
  faulty(
    'grey',
    'servers that answer probes are slow, err or fall silent; servers leave in a warm-up and in a carry-over',
    [
      ['a server turns grey', servers.greyServer],
      ['a server leaves in its warm-up', servers.leaveInWarmUp],
      ['a server leaves in a carry-over', servers.leaveInCarryOver],
      ['another server turns grey', servers.greyServer],
    ],
  ),
  faulty('bursts', 'large setups in a fast burst, operators race, the leader is killed in between', [
    ['a burst of large setups', setups.burstOfLarge],
    ['operators race', setups.raceOperators],
    ['kill the leader', nodes.killLeader],
    ['another burst of large setups', setups.burstOfLarge],
  ]),
  {
    name: 'soak',
    about: 'troubles drawn by the seed, two or three at a time, on a small fleet',
    seconds: 60,
    plannedOnly: false,
    troubleEndsShare: 0.72,
    size: smaller,
    setup: quickWarmup,
    acts: [],
    draw: drawSoak,
  },
];
