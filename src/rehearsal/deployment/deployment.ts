import type { KindTraffic } from './kind-traffic.js';

/** A deployment of the brief: its sizes and its traffic. */
export type Deployment = {
  readonly name: string;
  readonly setupPath: string;
  readonly routers: number;
  readonly models: number;
  readonly webs: number;
  readonly modelService: string;
  readonly webService: string;
  readonly exchangesPerSecond: number;
  readonly kinds: readonly KindTraffic[];
};
