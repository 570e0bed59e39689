import type { Micros } from '../../../src/common/micros.js';
import { judge } from '../stand-in/judge.js';
import { allowedOf } from './soak-document.js';
import type { ClientTry } from '../stand-in/seen.js';
import type { PutRecord, ReadRecord, SoakOperator } from './soak-operator.js';
import { quiesceUs, type SoakRequest, type SoakWorld } from './soak-world.js';
import { unservedOf } from './unserved.js';

/** When an acknowledged document must be in force at the latest. */
const applyUs: Micros = 2_000_000;
/** What the passing of a request to a server may take beyond the time of a leaving server. */
const passingUs: Micros = 500_000;
/** The share of requests that must be served once all is whole again. */
const leastServedShare = 0.95;

/** A process that was frozen answers late for so long. */
const wakeUs: Micros = 1_000_000;
/** What the settings of the soak allow a process. */
const mostMemoryBytes = 350 << 20;

const refusedStatuses: ReadonlySet<number> = new Set([400, 409, 412, 413, 422]);
/** Final answers that say that the client is wrong; these clients never are. */
const wrongClient: ReadonlySet<number> = new Set([400, 401, 403, 404, 405, 413, 431]);

const readFaults = (puts: readonly PutRecord[], { sentUs, status, version, text }: ReadRecord): readonly string[] => {
  const acknowledged = puts.filter((put) => put.status === 200 && put.toldUs + applyUs < sentUs);
  const newest = Math.max(0, ...acknowledged.map((put) => put.version));
  if (status === 404) return newest > 0 ? [`CONFIG a read found nothing, ${newest} was acknowledged`] : [];
  if (status !== 200) return [];
  const sent = puts.filter((put) => put.text === text);
  return [
    ...(version < newest ? [`CONFIG a read gave ${version}, ${newest} was acknowledged`] : []),
    ...(sent.length > 0 && sent.every((put) => refusedStatuses.has(put.status))
      ? [`CONFIG ${version} is in force though it was refused`]
      : []),
  ];
};

const putFaults = (puts: readonly PutRecord[]): readonly string[] => {
  const taken = puts.filter(({ status }) => status === 200);
  return taken.flatMap((put, place) => [
    ...(put.isInvalid ? [`CONFIG the invalid ${put.version} was acknowledged`] : []),
    ...(taken.slice(0, place).some(({ base, text }) => base === put.base && text !== put.text)
      ? [`CONFIG two on top of ${put.base} were acknowledged`]
      : []),
  ]);
};

const operatorFaults = ({ puts, reads }: SoakOperator): readonly string[] => [
  ...putFaults(puts),
  ...reads.flatMap((read) => readFaults(puts, read)),
];

const deniedFaults = ({ seen }: SoakWorld): readonly string[] =>
  seen.tries.flatMap(({ attempt, status, seal, node }) =>
    seal === undefined && wrongClient.has(status) ? [`DENIED ${attempt} got ${status} from ${node}`] : [],
  );

const leaveFaults = ({ seen, leaves }: SoakWorld): readonly string[] =>
  leaves.flatMap(({ server, shownUs }) =>
    seen.arrivals.flatMap((arrival) =>
      arrival.server === server && arrival.atUs > shownUs + quiesceUs + passingUs
        ? [
            `DRAIN ${arrival.attempt} reached ${server} ${(arrival.atUs - shownUs) / 1_000} ms after it was shown as leaving`,
          ]
        : [],
    ),
  );

const recoverFaults = (world: SoakWorld, wholeUs: Micros): readonly string[] => {
  const { requests, seen } = world;
  const brokenByServers = new Set(seen.arrivals.filter(({ broken }) => broken).map(({ attempt }) => attempt));
  const isServersFault = ({ end }: SoakRequest): boolean =>
    end.tries.some(({ attempt }) => brokenByServers.has(attempt));
  const after = requests.filter((made) => made.sentUs > wholeUs && !isServersFault(made));
  const served = after.filter(({ end }) => end.isServed).length;
  return after.length > 0 && served >= after.length * leastServedShare
    ? []
    : [
        `RECOVER ${served} of ${after.length} were served after all was whole again`,
        ...unservedOf(world, after).map((line) => `RECOVER not served: ${line}`),
      ];
};

/** Every process was started again after each of its ends; one that does not run has ended by itself. */
const endedFaults = ({ fleet }: SoakWorld): readonly string[] =>
  [...fleet.controls, ...fleet.routers].flatMap(({ launched }) =>
    launched.isRunning() ? [] : [`ENDED ${launched.node} by ${launched.endedBy() ?? 'nothing known'}`],
  );

/**
 * What a router passed on is answered, whether its server has begun to work on it or not, also where it was sent behind others and
 * its router stops meanwhile. Requests whose router was killed or frozen, or whose server broke off, do not count.
 */
const lostFaults = ({ seen, hits, fleet }: SoakWorld): readonly string[] => {
  const names = new Map(fleet.routers.map(({ edge, launched }) => [edge, launched.node]));
  const arrivals = new Map(seen.arrivals.map((arrival) => [arrival.attempt, arrival]));
  const isHit = ({ node, sentUs, endUs }: ClientTry): boolean =>
    hits.some((hit) => hit.node === names.get(node) && hit.fromUs <= endUs && hit.untilUs + wakeUs >= sentUs);
  return seen.tries.flatMap((made) => {
    const arrival = arrivals.get(made.attempt);
    if (made.isCutOff !== true || arrival === undefined || arrival.broken || isHit(made)) return [];
    const state = arrival.ran ? 'ran' : 'was passed on';
    return [`LOST ${made.attempt} ${state}, ${made.node} ended it after ${made.endUs - made.sentUs} us (${made.kind})`];
  });
};

const memoryFaults = ({ mostResidentBytes }: SoakWorld): readonly string[] =>
  [...mostResidentBytes].flatMap(([node, bytes]) =>
    bytes > mostMemoryBytes ? [`MEMORY ${node} had ${Math.round(bytes / (1 << 20))} MB`] : [],
  );

/** What a soak was, for its judge. */
export type PlayedSoak = {
  readonly world: SoakWorld;
  /** From when on all troubles were over and service was to be back. */
  readonly wholeUs: Micros;
  /** Whether all processes were down at once at some time. */
  readonly forgot: boolean;
};

/** All that a soak breaks of the rules. */
export const judgeSoak = ({ world, wholeUs, forgot }: PlayedSoak): readonly string[] => [
  ...judge(world.seen, allowedOf),
  ...operatorFaults(world.operator),
  ...deniedFaults(world),
  ...(forgot ? [] : leaveFaults(world)),
  ...recoverFaults(world, wholeUs),
  ...lostFaults(world),
  ...memoryFaults(world),
  ...endedFaults(world),
];
