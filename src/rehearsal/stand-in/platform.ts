import { request } from 'undici';
import { boolean, number, object, string } from 'yup';
import { validate } from '../../common/validate.js';
import { monotonicNow, toMillis, type Micros } from '../../common/micros.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { ServerList } from '../../servers/list/server-list.js';
import { randomItem, type RandomSource } from '../../common/random.js';
import { noteLeaves } from '../history/note-leaves.js';
import type { History } from '../history/history.js';

/** A node as the platform and the operators reach it. */
export type RehearsedNode = {
  readonly node: string;
  readonly role: 'router' | 'control';
  readonly http: string;
  readonly boot: () => number;
};

/** The stand-in platform: it keeps the list, probes the nodes and hands callers to those that are ready. */
export type Platform = {
  readonly now: () => number;
  readonly list: () => ServerList;
  readonly show: (servers: readonly ListedServer[]) => void;
  readonly readyRouters: () => readonly RehearsedNode[];
  readonly readyNodes: () => ReadonlySet<string>;
  readonly start: () => void;
  readonly close: () => void;
};

const probeUs: Micros = 200_000;
const probeBudgetUs: Micros = 800_000;
const listUs: Micros = 1_000_000;

const watchedSchema = object({
  revision: number().required(),
  digest: string().optional(),
  version: number().required(),
}).required();
const readySchema = object({ ready: boolean().required() }).required();

export const openPlatform = (nodes: readonly RehearsedNode[], history: History, chance: RandomSource): Platform => {
  const bornUs = monotonicNow() - 1_000_000_000;
  const now = (): number => monotonicNow() - bornUs;
  const ready = new Set<string>();
  const timers: NodeJS.Timeout[] = [];
  let list: ServerList = { version: 1, atUs: now(), servers: [] };

  const push = async (node: RehearsedNode): Promise<void> => {
    try {
      const receipt = await request(`http://${node.http}/platform/list`, {
        method: 'PUT',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(list),
        signal: AbortSignal.timeout(toMillis(probeBudgetUs)),
      });
      await receipt.body.dump();
    } catch {
      return;
    }
  };

  const probe = async (node: RehearsedNode): Promise<void> => {
    const boot = node.boot();
    try {
      const signal = AbortSignal.timeout(toMillis(probeBudgetUs));
      const receipt = await request(`http://${node.http}/ready`, { signal });
      const body: unknown = await receipt.body.json();
      const isReady = validate(readySchema, body)
        .map((probed) => probed.ready)
        .orDefault(false);
      if (isReady) ready.add(node.node);
      else ready.delete(node.node);
      const counters = await request(`http://${node.http}/partners`, { signal });
      const { revision, digest, version } = await watchedSchema.validate(await counters.body.json());
      history.watches.push({ node: node.node, boot, atUs: monotonicNow(), ready: isReady, revision, digest, version });
    } catch {
      ready.delete(node.node);
    }
  };

  const repeat = (work: () => Promise<void>, spanUs: Micros): void => {
    const index = timers.length;
    const again = (): void => {
      timers[index] = setTimeout(() => void work().finally(again), toMillis(spanUs));
    };
    timers.push(setTimeout(again, 0));
  };

  return {
    now,
    list: () => list,
    show: (servers) => {
      list = { version: list.version + 1, atUs: now(), servers };
      noteLeaves(history, servers, monotonicNow());
      for (const node of [randomItem(chance, nodes), randomItem(chance, nodes), randomItem(chance, nodes)])
        if (node !== undefined) void push(node);
    },
    readyRouters: () => nodes.filter((node) => node.role === 'router' && ready.has(node.node)),
    readyNodes: () => ready,
    start: () => {
      for (const node of nodes) repeat(() => probe(node), probeUs);
      for (const node of nodes) repeat(() => push(node), listUs);
    },
    close: () => timers.forEach((timer) => clearTimeout(timer)),
  };
};
