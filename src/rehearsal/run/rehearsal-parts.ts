import type { Setup } from '../../setup/document/setup.js';
import type { Micros } from '../../common/micros.js';
import type { RandomSource } from '../../common/random.js';
import type { Deployment } from '../deployment/deployment.js';
import type { History } from '../history/history.js';
import type { CutRelays } from '../launcher/cut-relays.js';
import type { LaunchedNode } from '../launcher/launched-node.js';
import type { Platform } from '../stand-in/platform.js';
import type { PutRecord } from '../history/setup-record.js';
import type { ServerPool } from './server-pool.js';
import type { Traffic } from './traffic.js';

/** What the acts of a scenario work on. */
export type RehearsalParts = {
  readonly deployment: Deployment;
  readonly history: History;
  readonly chance: RandomSource;
  readonly platform: Platform;
  readonly serverPool: ServerPool;
  readonly traffic: Traffic;
  readonly controls: readonly LaunchedNode[];
  readonly routers: readonly LaunchedNode[];
  readonly setup: Setup;
  readonly relays: CutRelays;
  /** The core machine that says it leads. */
  readonly leader: () => Promise<LaunchedNode | undefined>;
  /** Waits until the platform has seen a node ready in its present life. */
  readonly ready: (node: LaunchedNode) => Promise<void>;
  readonly put: (setup: Setup, expected?: number, control?: LaunchedNode, isFaulty?: boolean) => Promise<PutRecord>;
  readonly pause: (spanUs: Micros) => Promise<void>;
};
