import type { Micros } from '../../common/micros.js';
import type { PersistentMap } from '../../common/persistent-map.js';
import type { ServerKey } from '../../servers/list/server-key.js';

/** How a server failed: no connection could be opened, or an exchange that was sent to it broke. */
export type FailureCause = 'unreachable' | 'failed';

/** Exponentially decaying failure score of a server over all routers, and the time at which its ejection ends. */
export type FailureScore = { readonly score: number; readonly atUs: Micros; readonly ejectedUntilUs: Micros };

export type ServerFailures = PersistentMap<ServerKey, FailureScore>;

/** A failed connection says more about the server than one broken exchange. */
const failureWeights: Readonly<Record<FailureCause, number>> = { unreachable: 1.5, failed: 1 };
/** A server whose score reaches this is ejected: placement skips it. */
const ejectionScore = 2.6;
const scoreHalfLifeUs: Micros = 1_000_000;
/** How long a server stays ejected after its last failure; then it receives traffic as before. */
const ejectionUs: Micros = 600_000;
/** Scores without a new failure for this long are dropped. */
const scoreRetentionUs: Micros = 10_000_000;
/** At most this fraction of a service is ejected: if more servers fail, the cause is probably not the servers. */
const maxEjectedFraction = 1 / 3;

const decayedScore = ({ score, atUs }: FailureScore, nowUs: Micros): number =>
  score * 2 ** (-Math.max(0, nowUs - atUs) / scoreHalfLifeUs);

/** Adds a failure to the server's score and drops expired scores. */
export const withFailure = (
  failures: ServerFailures,
  server: ServerKey,
  cause: FailureCause,
  nowUs: Micros,
): ServerFailures => {
  const previous = failures.get(server);
  const score = (previous === undefined ? 0 : decayedScore(previous, nowUs)) + failureWeights[cause];
  const untilUs = score >= ejectionScore ? nowUs + ejectionUs : (previous?.ejectedUntilUs ?? 0);
  const recentFailures = failures.filter(({ atUs }) => nowUs - atUs < scoreRetentionUs);
  return recentFailures.set(server, { score, atUs: nowUs, ejectedUntilUs: untilUs });
};

/** The ejected servers among `servers`; none if more than the permitted fraction of them would be ejected. */
export const ejectedAmong = (
  failures: ServerFailures,
  servers: ReadonlySet<ServerKey>,
  nowUs: Micros,
): ReadonlySet<ServerKey> => {
  const ejected = new Set<ServerKey>();
  for (const [server, { ejectedUntilUs: untilUs }] of failures)
    if (nowUs < untilUs && servers.has(server)) ejected.add(server);
  return ejected.size > servers.size * maxEjectedFraction ? new Set() : ejected;
};
