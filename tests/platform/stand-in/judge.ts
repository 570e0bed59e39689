import { standInTenant } from './documents.js';
import type { ClientTry, Seen } from './seen.js';
import { plainBytes, streamText } from './server-text.js';

const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const isSuccess = ({ status }: ClientTry): boolean => status >= 200 && status < 300;
const mayRepeat = ({ kind }: ClientTry): boolean => kind === 'idem' || kind === 'resumed';

const withoutVersions = (text: string): string => text.replace(/ledgehill-weight-versions: \d+\n/g, '');

/** What is needed to find out why an answer has other bytes. */
const describe = (
  { route, node, status, whole, lastEventId, events, error }: ClientTry,
  bytes: string,
  wanted = '',
): string => {
  const differsAt = [...wanted].findIndex((char, place) => char !== bytes[place]);
  const facts = { route, node, status, whole, lastEventId, events, error, bytes: bytes.length, wanted: wanted.length };
  return `${JSON.stringify({ ...facts, differsAt, tail: bytes.slice(-120) })}`;
};

/** What the rules of the platform have against a history; `allowed` tells the services that a route may ever go to. */
export const judge = ({ arrivals, tries }: Seen, allowed: (route: string) => readonly string[]): readonly string[] => {
  const byAttempt = new Map(tries.map((made) => [made.attempt, made]));
  const runsOf = (attempt: string) => arrivals.filter((arrival) => arrival.ran && arrival.attempt === attempt);
  const ofRuns = arrivals.flatMap((arrival) => {
    const asked = byAttempt.get(arrival.attempt);
    if (asked === undefined) return [`UNASKED ${arrival.attempt} at ${arrival.server}`];
    return [
      ...(arrival.method === asked.method && arrival.target === asked.target && arrival.body === asked.body
        ? []
        : [`UNASKED ${arrival.attempt} was changed`]),
      ...(arrival.ran && !allowed(asked.route).includes(arrival.service)
        ? [`ROUTE ${arrival.attempt} ran at ${arrival.server} of ${arrival.service}`]
        : []),
      ...(arrival.headers.authorization === undefined ? [] : [`UNASKED ${arrival.attempt} was given its client's key`]),
      ...(arrival.headers['ledgehill-tenant'] === standInTenant.name
        ? []
        : [`UNASKED ${arrival.attempt} bears another tenant`]),
      ...(arrival.headers['x-client'] === 'kept' ? [] : [`HEADERS ${arrival.attempt} lost one`]),
    ];
  });
  const ofTries = tries.flatMap((made) => {
    const runs = runsOf(made.attempt);
    const seal = made.seal?.split('.')[0];
    const wantedBytes = made.events > 0 ? streamText(made.body, made.lastEventId, made.events) : undefined;
    const bytes = made.events > 0 ? withoutVersions(made.bytes) : made.bytes;
    const isOwn =
      wantedBytes === undefined
        ? allowed(made.route).some((service) => plainBytes(service, made.body).toString('latin1') === bytes)
        : made.whole
          ? bytes === wantedBytes
          : wantedBytes.startsWith(bytes);
    return [
      ...(!mayRepeat(made) && runs.length > 1 ? [`TWICE ${made.attempt} ran ${runs.length} times`] : []),
      ...(!mayRepeat(made) && promises.has(made.status) && runs.length > 0
        ? [`REFUSED ${made.attempt} got ${made.status} and ran`]
        : []),
      ...(isSuccess(made) && seal === undefined ? [`MIXED ${made.attempt} has no seal`] : []),
      ...(isSuccess(made) && seal !== undefined && !runs.some(({ server }) => server === seal)
        ? [`MIXED ${made.attempt} has the seal of ${seal}`]
        : []),
      ...(isSuccess(made) && (made.whole || made.events > 0) && !isOwn
        ? [
            `${made.events > 0 ? 'ORDER' : 'MIXED'} ${made.attempt} has other bytes: ${describe(made, bytes, wantedBytes)}`,
          ]
        : []),
    ];
  });
  return [...ofRuns, ...ofTries];
};
