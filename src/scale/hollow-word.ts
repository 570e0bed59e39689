import type { Partner } from '../spread/partner/partner.js';

/** What the parent says to a process of hollow nodes. */
export type HollowWord =
  | { readonly type: 'begin'; readonly nodes: readonly Partner[]; readonly seeds: readonly string[] }
  | { readonly type: 'report' };

/** What a process of hollow nodes reports; all counts since its start. */
export type HollowReport = {
  readonly nodes: number;
  readonly cpuUs: number;
  readonly memoryBytes: number;
  readonly frames: Readonly<Record<string, number>>;
  readonly bytes: Readonly<Record<string, number>>;
  readonly leastRevision: number;
  readonly leastVersion: number;
  readonly leastPartners: number;
  readonly mostPartners: number;
  readonly leastRouters: number;
  readonly mostRouters: number;
};
