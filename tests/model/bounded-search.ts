import type { DurableRecord } from '../../src/control/log/durable-record.js';
import type { LogEntry } from '../../src/control/log/log-entry.js';
import type { Member } from '../../src/control/members/member.js';
import {
  deliver,
  emptyCluster,
  hear,
  restart,
  start,
  withMachine,
  withoutFrame,
  type Cluster,
  type Frame,
} from './cluster.js';

/** How much of each kind of event a search may spend on one path, and how many states it may visit. */
export type SearchBounds = {
  readonly size: number;
  readonly elections: number;
  readonly heartbeats: number;
  readonly proposals: number;
  readonly failures: number;
  readonly duplicates: number;
  readonly framesInFlight: number;
  readonly depth: number;
  readonly states: number;
};

/** What a search came to. `isExhausted` says that every state within the bounds was visited. */
export type SearchEnd = {
  readonly states: number;
  readonly isExhausted: boolean;
  readonly broken: readonly string[];
  readonly trace: readonly string[];
};

type Budget = Pick<SearchBounds, 'elections' | 'heartbeats' | 'proposals' | 'failures' | 'duplicates'>;

type Node = {
  readonly cluster: Cluster;
  readonly budget: Budget;
  readonly depth: number;
  readonly what: string;
  readonly parent: Node | undefined;
};

type Move = { readonly cluster: Cluster; readonly budget: Budget; readonly what: string };

const membersEntryOf = (members: readonly Member[]): LogEntry => ({
  index: 1,
  term: 0,
  command: { type: 'members', members },
});

/** Founded replicas that have only the members entry, and have heard no leader yet. */
const foundedAtRest = (size: number): Cluster => {
  const empty = emptyCluster(size);
  const members = empty.machines.map(({ identity, address }) => ({ identity, address, voter: true }));
  const record: DurableRecord = { type: 'entries', entries: [membersEntryOf(members)] };
  return empty.machines.reduce<Cluster>(
    (reached, machine, place) => start(withMachine(reached, place, { records: [...machine.records, record] }), place),
    empty,
  );
};

const spend = (budget: Budget, kind: keyof Budget): Budget => ({ ...budget, [kind]: budget[kind] - 1 });

const isSameFrame = (left: Frame, right: Frame): boolean =>
  left.identity === right.identity &&
  left.address === right.address &&
  JSON.stringify(left.message) === JSON.stringify(right.message);

const deliveries = (cluster: Cluster, budget: Budget): readonly Move[] =>
  cluster.frames.flatMap((frame, place) => {
    if (cluster.frames.findIndex((other) => isSameFrame(other, frame)) !== place) return [];
    const what = `deliver ${frame.message.type} ${frame.identity} -> ${frame.address}`;
    const rest = withoutFrame(cluster, place);
    return [
      { cluster: deliver(rest, frame), budget, what },
      ...(budget.duplicates > 0
        ? [{ cluster: deliver(cluster, frame), budget: spend(budget, 'duplicates'), what: `${what}, and once more` }]
        : []),
      ...(budget.failures > 0
        ? [
            {
              cluster: start(
                deliver(rest, frame, 1),
                cluster.machines.findIndex((m) => m.address === frame.address),
              ),
              budget: spend(budget, 'failures'),
              what: `${what}, which fails and starts again before it answers`,
            },
          ]
        : []),
    ];
  });

/** Wakes one machine at a time that all clocks have reached. */
const wake = (cluster: Cluster, place: number, atUs: number): Cluster => {
  const nowUs = Math.max(atUs, ...cluster.machines.map(({ clockUs }) => clockUs));
  const machines = cluster.machines.map((machine) => ({ ...machine, clockUs: nowUs }));
  return hear({ ...cluster, machines }, place, { type: 'tick', at: nowUs, chance: 0 });
};

const ownMoves = (cluster: Cluster, budget: Budget, place: number): readonly Move[] => {
  const { name, replica, clockUs } = cluster.machines[place] ?? {};
  if (replica === undefined || clockUs === undefined) return [];
  const isLeader = replica.role === 'leader';
  return [
    ...(!isLeader && budget.elections > 0
      ? [
          {
            cluster: wake(cluster, place, replica.electionDeadlineUs),
            budget: spend(budget, 'elections'),
            what: `${name} times out`,
          },
        ]
      : []),
    ...(isLeader && budget.heartbeats > 0
      ? [
          {
            cluster: wake(cluster, place, replica.nextHeartbeatUs),
            budget: spend(budget, 'heartbeats'),
            what: `${name} sends heartbeats`,
          },
        ]
      : []),
    ...(isLeader && budget.proposals > 0
      ? [
          {
            cluster: hear(cluster, place, {
              type: 'propose',
              at: clockUs,
              requestId: `r${budget.proposals}`,
              command: { type: 'claim', key: 'k', exchange: `${name}-${budget.proposals}`, atUs: 0 },
            }),
            budget: spend(budget, 'proposals'),
            what: `propose to ${name}`,
          },
        ]
      : []),
    ...(budget.failures > 0
      ? [{ cluster: restart(cluster, place), budget: spend(budget, 'failures'), what: `restart ${name}` }]
      : []),
  ];
};

/** A state without its clocks: two states that differ in time alone count as one. */
const keyOf = ({ cluster, budget }: Pick<Node, 'cluster' | 'budget'>): string =>
  JSON.stringify([
    cluster.machines.map(({ replica }) =>
      replica === undefined
        ? null
        : [
            replica.role,
            replica.term,
            replica.votedFor,
            replica.leader,
            replica.commit,
            replica.entries.map((entry) => [entry.term, entry.command]),
            [...replica.votes].sort(),
            [...replica.progress].map(([identity, { next, match }]) => [identity, next, match]),
          ],
    ),
    cluster.frames
      .map(({ identity, address, message }) => JSON.stringify([identity, address, { ...message, round: 0 }]))
      .sort(),
    budget,
  ]);

const traceOf = (node: Node): readonly string[] => {
  const trace: string[] = [];
  for (let at: Node | undefined = node; at?.parent !== undefined; at = at.parent) trace.unshift(at.what);
  return trace;
};

const movesOf = ({ cluster, budget }: Node): readonly Move[] => [
  ...deliveries(cluster, budget),
  ...cluster.machines.flatMap((_, place) => ownMoves(cluster, budget, place)),
];

/**
 * Visits every state of a small core within the bounds, breadth first, each once, and stops at the first broken rule. A
 * message may wait for ever, which is how it is lost; a state with more messages in flight than allowed goes no further.
 */
export const searchBounded = (bounds: SearchBounds): SearchEnd => {
  const { elections, heartbeats, proposals, failures, duplicates } = bounds;
  const root: Node = {
    cluster: foundedAtRest(bounds.size),
    budget: { elections, heartbeats, proposals, failures, duplicates },
    depth: 0,
    what: '',
    parent: undefined,
  };
  const visited = new Set<string>([keyOf(root)]);
  let layer: readonly Node[] = [root];
  while (layer.length > 0) {
    const nextLayer: Node[] = [];
    for (const node of layer) {
      if (node.depth >= bounds.depth) continue;
      for (const move of movesOf(node)) {
        const reached: Node = { ...move, depth: node.depth + 1, parent: node };
        if (reached.cluster.broken.length > 0)
          return {
            states: visited.size,
            isExhausted: false,
            broken: reached.cluster.broken,
            trace: traceOf(reached),
          };
        if (reached.cluster.frames.length > bounds.framesInFlight) continue;
        const key = keyOf(reached);
        if (visited.has(key)) continue;
        visited.add(key);
        if (visited.size >= bounds.states) return { states: visited.size, isExhausted: false, broken: [], trace: [] };
        nextLayer.push(reached);
      }
    }
    layer = nextLayer;
  }
  return { states: visited.size, isExhausted: true, broken: [], trace: [] };
};
