import { platformUsOf } from '../../decision/machine/view/decision-view.js';
import { randomItem } from '../../common/random.js';
import { noteLeaves } from '../../rehearsal/history/note-leaves.js';
import type { History } from '../../rehearsal/history/history.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { ServerList } from '../../servers/list/server-list.js';
import { setupDigestOf } from '../../setup/document/setup-digest.js';
import type { Network } from '../world/network.js';
import type { World } from '../world/world.js';
import type { GossipTask } from '../../process/gossip-task.js';
import type { SimNode } from '../process/sim-node.js';
import type { SimRouter } from './sim-router.js';

/** The virtual platform: it keeps the list and knows which routers are ready. */
export type SimPlatform = {
  readonly now: () => number;
  readonly list: () => ServerList;
  readonly show: (servers: readonly ListedServer[]) => void;
  readonly readyRouters: () => readonly SimRouter[];
  readonly start: () => void;
};

export type Reachable = {
  readonly address: () => string;
  readonly node: SimNode;
  readonly spread: () => GossipTask | undefined;
};

const probeUs = 200_000;
const pushUs = 1_000_000;
const bornUs = 1_000_000_000;

export const openSimPlatform = (
  world: World,
  network: Network,
  history: History,
  routers: readonly SimRouter[],
  reachable: readonly Reachable[],
  breakRule: (what: string) => void,
): SimPlatform => {
  const ready = new Set<SimRouter>();
  const now = (): number => world.now() + bornUs;
  let list: ServerList = { version: 1, atUs: now(), servers: [] };

  const push = (target: Reachable): void => {
    const pushed = list;
    network.send('platform', target.address(), () => {
      const spread = target.spread();
      if (spread !== undefined) target.node.hear(() => spread.offerList(pushed));
    });
  };
  const pushOn = (target: Reachable): void => {
    push(target);
    world.after(pushUs, () => pushOn(target));
  };
  const probe = (router: SimRouter): void => {
    const isReachable = router.node.isUp() && !router.node.isFrozen();
    if (isReachable && router.isReady()) ready.add(router);
    else ready.delete(router);
    const tasks = router.tasks();
    const record = tasks?.spread.view().record;
    const decided = tasks?.router.view();
    const reachedUs = Math.max(
      tasks?.spread.platformUs() ?? 0,
      decided?.platform === undefined ? 0 : platformUsOf(decided),
    );
    if (isReachable && reachedUs > now())
      breakRule(`time-never-ahead: ${router.name} thinks ${reachedUs}, the platform has come to ${now()}`);
    if (isReachable)
      history.watches.push({
        node: router.name,
        boot: router.node.boot(),
        atUs: world.now(),
        ready: router.isReady(),
        revision: record?.revision ?? 0,
        digest: record === undefined ? undefined : setupDigestOf(record.setup),
        version: tasks?.spread.view().list?.version ?? 0,
      });
    world.after(probeUs, () => probe(router));
  };

  return {
    now,
    list: () => list,
    show: (servers) => {
      list = { version: list.version + 1, atUs: now(), servers };
      noteLeaves(history, servers, world.now());
      for (let copy = 0; copy < 3; copy += 1) {
        const target = randomItem(world.chance, reachable);
        if (target !== undefined) push(target);
      }
    },
    readyRouters: () => routers.filter((router) => ready.has(router)),
    start: () => {
      routers.forEach(probe);
      reachable.forEach(pushOn);
    },
  };
};
