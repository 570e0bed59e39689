import { randomItem } from '../../../common/random.js';
import type { LaunchedNode } from '../../launcher/launched-node.js';
import type { RehearsalParts } from '../rehearsal-parts.js';
import type { FaultStep } from './fault-step.js';

export const restarted = async (node: LaunchedNode, parts: RehearsalParts, spanUs: number): Promise<void> => {
  await node.kill();
  await parts.pause(spanUs);
  node.start();
};

export const frozen = async (node: LaunchedNode, parts: RehearsalParts, spanUs: number): Promise<void> => {
  node.freeze();
  await parts.pause(spanUs);
  node.wake();
};

const withRouter =
  (act: (router: LaunchedNode, parts: RehearsalParts) => Promise<void>): FaultStep =>
  async (parts) => {
    const router = randomItem(parts.chance, parts.routers);
    if (router !== undefined) await act(router, parts);
  };

const withLeader =
  (act: (leader: LaunchedNode, parts: RehearsalParts) => Promise<void>): FaultStep =>
  async (parts) => {
    const leader = await parts.leader();
    if (leader !== undefined) await act(leader, parts);
  };

export const killRouter: FaultStep = withRouter((router, parts) => restarted(router, parts, 1_000_000));

export const killHalf: FaultStep = async (parts) => {
  await Promise.all(
    parts.routers.filter((_, place) => place % 2 === 0).map((router) => restarted(router, parts, 1_500_000)),
  );
};

export const killAllRouters: FaultStep = async (parts) => {
  await Promise.all(parts.routers.map((router) => restarted(router, parts, 1_500_000)));
};

/** Every process of the fleet at once, core machines too. */
export const killAll: FaultStep = async (parts) => {
  await Promise.all([...parts.controls, ...parts.routers].map((node) => restarted(node, parts, 1_500_000)));
};

export const freezeRouter: FaultStep = withRouter((router, parts) => frozen(router, parts, 4_000_000));

export const killLeader: FaultStep = withLeader((leader, parts) => restarted(leader, parts, 1_500_000));

export const freezeLeader: FaultStep = withLeader((leader, parts) => frozen(leader, parts, 4_000_000));

export const killLeaderAndRouter: FaultStep = async (parts) => {
  await Promise.all([killLeader(parts), killRouter(parts)]);
};

/** Restarts every router in turn, in order, as the platform does. */
export const rollRouters: FaultStep = async (parts) => {
  for (const router of parts.routers) {
    await router.terminate();
    router.start();
    await parts.ready(router);
  }
};

export const rollControls: FaultStep = async (parts) => {
  for (const control of parts.controls) {
    await control.terminate();
    control.start();
    await parts.ready(control);
  }
};
