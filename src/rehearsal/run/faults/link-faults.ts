import { randomItem } from '../../../common/random.js';
import type { LaunchedNode } from '../../launcher/launched-node.js';
import type { RehearsalParts } from '../rehearsal-parts.js';
import type { FaultStep } from './fault-step.js';
import { killRouter } from './node-faults.js';
import { leaveOne } from './server-faults.js';

export const cutFor = async (
  parts: RehearsalParts,
  left: readonly LaunchedNode[],
  right: readonly LaunchedNode[],
  oneWay: boolean,
): Promise<void> => {
  parts.relays.cut(
    left.map((node) => node.partners),
    right.map((node) => node.partners),
    oneWay,
  );
  await parts.pause(4_000_000);
  parts.relays.heal();
};

export const cutCoreOff: FaultStep = (parts) => cutFor(parts, parts.controls, parts.routers, false);

export const splitCore: FaultStep = (parts) =>
  cutFor(parts, parts.controls.slice(0, 1), parts.controls.slice(1), false);

export const isolateRouter: FaultStep = (parts) => {
  const router = randomItem(parts.chance, parts.routers);
  const others = [...parts.controls, ...parts.routers].filter((node) => node !== router);
  return router === undefined ? Promise.resolve() : cutFor(parts, [router], others, parts.chance() < 0.4);
};

/** A server is shown as leaving while half of the fleet is cut off from the other half. */
export const leaveInSplit: FaultStep = async (parts) => {
  const nodes = [...parts.controls, ...parts.routers];
  await Promise.all([
    leaveOne(parts),
    cutFor(
      parts,
      nodes.filter((_, place) => place % 2 === 0),
      nodes.filter((_, place) => place % 2 === 1),
      false,
    ),
  ]);
};

export const splitAndKill: FaultStep = async (parts) => {
  await Promise.all([splitCore(parts), killRouter(parts)]);
};
