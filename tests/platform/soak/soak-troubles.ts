import { randomItem, randomBelow } from '../../../src/common/random.js';
import { monotonicNow } from '../../../src/common/micros.js';
import type { LaunchedNode } from '../../../src/rehearsal/launcher/launched-node.js';
import type { FleetNode } from '../stand-in/launch-fleet.js';
import { losePowerIn } from './lose-power.js';
import {
  endlessComments,
  endlessError,
  endlessEvent,
  noStatus,
  type Misdeed,
  type SpoiledAnswer,
} from '../stand-in/misdeed.js';
import type { Hit, SoakWorld } from './soak-world.js';

/** Something that goes wrong, or a piece of planned work; it ends when all is whole again. */
export type Trouble = {
  readonly name: string;
  readonly act: (world: SoakWorld) => Promise<void>;
  /** Whether all processes may be down at once meanwhile, so that nobody remembers since when a server leaves. */
  readonly forgets?: boolean;
};

const second = 1_000_000;
/** Longer than a stopping process may take. */
const queueUs = 10 * second;

const oneNode = ({ chance }: SoakWorld, nodes: readonly FleetNode[]): LaunchedNode | undefined =>
  randomItem(chance, nodes)?.launched;

const launchedOf = (nodes: readonly FleetNode[]): readonly LaunchedNode[] => nodes.map(({ launched }) => launched);

/** Notes from when to when processes are hit by what is done to them. */
const hit = async (world: SoakWorld, nodes: readonly LaunchedNode[], act: () => Promise<void>): Promise<void> => {
  const hits = nodes.map(({ node }): Hit => ({ node, fromUs: monotonicNow(), untilUs: Number.POSITIVE_INFINITY }));
  world.hits.push(...hits);
  await act();
  for (const noted of hits) noted.untilUs = monotonicNow();
};

const restarted = (
  world: SoakWorld,
  nodes: readonly LaunchedNode[],
  whileDown: () => void = () => undefined,
): Promise<void> =>
  hit(world, nodes, async () => {
    const downUs = 300_000 + randomBelow(world.chance, 1_500_000);
    await Promise.all(nodes.map((node) => node.kill()));
    whileDown();
    await world.pause(downUs);
    for (const node of nodes) node.start();
  });

const powerLost = (world: SoakWorld, nodes: readonly FleetNode[]): Promise<void> =>
  restarted(world, launchedOf(nodes), () => {
    for (const { data } of nodes) losePowerIn(data, world.chance);
  });

const frozen = async (world: SoakWorld, node: LaunchedNode | undefined): Promise<void> => {
  if (node === undefined) return;
  await hit(world, [node], async () => {
    node.freeze();
    await world.pause(second + randomBelow(world.chance, 4 * second));
    node.wake();
  });
};

const stopped = async (node: LaunchedNode): Promise<void> => {
  await node.terminate();
  node.start();
};

const misdeeds: readonly (Misdeed | SpoiledAnswer)[] = [
  'reset',
  'reset-without-length',
  noStatus,
  'surplus',
  'other-id',
  'no-seal',
  'encoded',
  'silence',
  'slow-refusal',
  'close-before-answer',
];
const misdeedsOfOne = 6;
const endlessAnswers = [endlessEvent, endlessComments, endlessError] as const;
/** Enough of them to exceed the memory of all processes together, were they held. */
const endlessOfOne = 24;

/** Troubles of one kind; two of the same kind do not begin together. */
export const troubleKinds: readonly (readonly Trouble[])[] = [
  [
    {
      name: 'kill a router',
      act: (world) =>
        restarted(
          world,
          [oneNode(world, world.fleet.routers)].flatMap((node) => node ?? []),
        ),
    },
    { name: 'kill all routers', act: (world) => restarted(world, launchedOf(world.fleet.routers)) },
    {
      name: 'kill every process',
      forgets: true,
      act: (world) => restarted(world, launchedOf([...world.fleet.controls, ...world.fleet.routers])),
    },
    {
      name: 'stop the routers in turn',
      act: async ({ fleet }) => {
        for (const node of launchedOf(fleet.routers)) await stopped(node);
      },
    },
    {
      name: 'stop the routers in turn while servers begin no work',
      act: async (world) => {
        for (const node of launchedOf(world.fleet.routers)) {
          for (const server of world.servers()) server.stall(queueUs);
          await world.pause(second / 2);
          await stopped(node);
        }
      },
    },
  ],
  [
    {
      name: 'kill a core machine',
      act: (world) =>
        restarted(
          world,
          [oneNode(world, world.fleet.controls)].flatMap((node) => node ?? []),
        ),
    },
    {
      name: 'a core machine loses power',
      act: (world) =>
        powerLost(
          world,
          [randomItem(world.chance, world.fleet.controls)].flatMap((node) => node ?? []),
        ),
    },
    { name: 'all core machines lose power', act: (world) => powerLost(world, world.fleet.controls) },
    { name: 'kill the core', act: (world) => restarted(world, launchedOf(world.fleet.controls)) },
    { name: 'freeze a core machine', act: (world) => frozen(world, oneNode(world, world.fleet.controls)) },
    {
      name: 'stop the core machines in turn',
      act: async ({ fleet }) => {
        for (const node of launchedOf(fleet.controls)) await stopped(node);
      },
    },
  ],
  [
    { name: 'freeze a router', act: (world) => frozen(world, oneNode(world, world.fleet.routers)) },
    {
      name: 'reload all',
      act: ({ fleet }) => {
        for (const node of launchedOf([...fleet.controls, ...fleet.routers])) node.reload();
        return Promise.resolve();
      },
    },
  ],
  [
    {
      name: 'a server crashes and another comes',
      act: async (world) => {
        const server = randomItem(world.chance, world.servers());
        if (server === undefined) return;
        await Promise.all([world.crashServer(server), world.openServer(server.service)]);
      },
    },
    {
      name: 'a server leaves and another comes',
      act: async (world) => {
        const server = randomItem(
          world.chance,
          world.servers().filter((known) => !known.isDraining()),
        );
        if (server === undefined) return;
        await world.openServer(server.service);
        await world.retireServer(server);
      },
    },
  ],
  [{ name: 'many callers send large bodies to one router', act: (world) => world.sendLargeBodies() }],
  [
    {
      name: 'servers misbehave',
      act: (world) => {
        for (const server of world.servers())
          server.misbehave(
            ...Array.from({ length: misdeedsOfOne }, () => randomItem(world.chance, misdeeds) ?? 'reset'),
          );
        return Promise.resolve();
      },
    },
    {
      name: 'many answers do not end',
      act: (world) => {
        for (const server of world.servers())
          server.misbehave(
            ...Array.from({ length: endlessOfOne }, () => randomItem(world.chance, endlessAnswers) ?? endlessEvent),
          );
        return Promise.resolve();
      },
    },
  ],
  [
    {
      name: 'the configuration changes back and forth',
      act: async ({ operator }) => {
        for (const idemService of ['office', 'gallery', 'office', 'gallery'] as const)
          await operator.change({ idemService });
      },
    },
    { name: 'two operators race', act: ({ operator }) => operator.race() },
    { name: 'an invalid configuration', act: ({ operator }) => operator.sendInvalid() },
    { name: 'an answer to the operator is lost', act: ({ operator }) => operator.changeWithLostAnswer() },
    {
      name: 'a large configuration',
      act: async ({ operator }) => {
        await operator.change({ idleRoutes: 700, idemService: 'office' });
        await operator.change({ idleRoutes: 3 });
      },
    },
  ],
];
