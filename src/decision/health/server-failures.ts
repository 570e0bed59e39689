import type { Micros } from '../../common/micros.js';
import type { PersistentMap } from '../../common/persistent-map.js';
import type { ServerKey } from '../../servers/list/server-key.js';

/** How a server failed: no connection came up, or an exchange that was sent to it broke. */
export type FailureCause = 'unreachable' | 'failed';

/** Failures of a server over the whole fleet, decaying with time, and until when it is avoided. */
export type FailureScore = { readonly score: number; readonly atUs: Micros; readonly avoidedUntilUs: Micros };

export type ServerFailures = PersistentMap<ServerKey, FailureScore>;

/** What a failure counts: a connection that does not come up says more than one exchange that broke. */
const weights: Readonly<Record<FailureCause, number>> = { unreachable: 1.5, failed: 1 };
/** From this score on a server is avoided. */
const avoidedScore = 2.6;
const halfLifeUs: Micros = 1_000_000;
/** A server is avoided for so long after its last failure; then it is tried again, as any other. */
const avoidedSpanUs: Micros = 600_000;
/** A score that is older than this says nothing any more. */
const forgottenSpanUs: Micros = 10_000_000;
/** No more than this part of a service is avoided: where more fail, the cause is likely to be elsewhere. */
const mostAvoidedPart = 1 / 3;

const decayedScore = ({ score, atUs }: FailureScore, nowUs: Micros): number =>
  score * 2 ** (-Math.max(0, nowUs - atUs) / halfLifeUs);

/** Counts a failure; scores that say nothing any more are forgotten. */
export const withFailure = (
  failures: ServerFailures,
  server: ServerKey,
  cause: FailureCause,
  nowUs: Micros,
): ServerFailures => {
  const known = failures.get(server);
  const score = (known === undefined ? 0 : decayedScore(known, nowUs)) + weights[cause];
  const avoidedUntilUs = score >= avoidedScore ? nowUs + avoidedSpanUs : (known?.avoidedUntilUs ?? 0);
  const kept = failures.filter(({ atUs }) => nowUs - atUs < forgottenSpanUs);
  return kept.set(server, { score, atUs: nowUs, avoidedUntilUs });
};

/** The servers among some that are to be avoided now; none where too many of them would be. */
export const avoidedAmong = (
  failures: ServerFailures,
  servers: ReadonlySet<ServerKey>,
  nowUs: Micros,
): ReadonlySet<ServerKey> => {
  const avoided = new Set<ServerKey>();
  for (const [server, { avoidedUntilUs }] of failures)
    if (nowUs < avoidedUntilUs && servers.has(server)) avoided.add(server);
  return avoided.size > servers.size * mostAvoidedPart ? new Set() : avoided;
};
