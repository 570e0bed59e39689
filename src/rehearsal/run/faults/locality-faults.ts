import type { LaunchedNode } from '../../launcher/launched-node.js';
import type { RehearsalParts } from '../rehearsal-parts.js';
import type { FaultStep } from './fault-step.js';
import { cutFor } from './link-faults.js';
import { modelsOf } from './server-faults.js';

const lostLocality = 'b';

const nodesIn = (parts: RehearsalParts): readonly LaunchedNode[] =>
  [...parts.controls, ...parts.routers].filter((node) => node.locality === lostLocality);

/** Everything in one locality is gone at once: a core machine, routers and model servers; then all of it comes back. */
export const loseLocality: FaultStep = async (parts) => {
  const servers = modelsOf(parts).filter((server) => server.listed.locality === lostLocality);
  for (const server of servers) server.crash();
  await Promise.all(nodesIn(parts).map((node) => node.kill()));
  await parts.pause(5_000_000);
  for (const node of nodesIn(parts)) node.start();
  for (const server of servers) await parts.serverPool.comeBack(server.listed.id);
};

/** One locality is split off; its servers answer nobody meanwhile. */
export const splitLocality: FaultStep = async (parts) => {
  const inside = nodesIn(parts);
  const outside = [...parts.controls, ...parts.routers].filter((node) => !inside.includes(node));
  const wakes = modelsOf(parts)
    .filter((server) => server.listed.locality === lostLocality)
    .map((server) => server.goDark());
  await cutFor(parts, inside, outside, false);
  for (const wake of wakes) wake();
};
