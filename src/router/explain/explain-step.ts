import { boolean, number, object, string, type InferType } from 'yup';
import { validate } from '../../common/validate.js';
import type { ReasonType } from '../../decision/machine/effect/reason-type.js';
import type { TraceStep } from './exchange-trace.js';

const factsSchema = object({
  attempt: number(),
  server: string(),
  fromPiece: number(),
  extra: boolean(),
  behind: string(),
  pieces: number(),
  message: string(),
  error: string(),
  tenant: string(),
  cost: number(),
  source: string(),
  reason: object({
    type: string(),
    migration: string(),
    cold: boolean(),
    pressure: number(),
    pressureBound: number(),
  }).default(undefined),
});

type Facts = InferType<typeof factsSchema>;

const reasonTexts: Readonly<Record<ReasonType, (reason: NonNullable<Facts['reason']>) => string>> = {
  ring: () => 'it owns the opening on the hash ring',
  'warm-up': ({ migration }) => `its opening was scheduled in the warm-up of "${migration ?? ''}"`,
  settling: ({ migration }) => `it recently took over the range ("${migration ?? ''}") and had a free slot`,
  'paced-back': ({ migration }) =>
    `the new owner ("${migration ?? ''}") accepts cold openings at a limited rate, so the previous owner serves it`,
  'handing-over': ({ migration }) => `the owner is leaving ("${migration ?? ''}") and hands the opening over`,
  spill: ({ pressure, pressureBound }) =>
    `the owners before it were at their load bound or saturated (load here: ${pressure ?? 0} of ${pressureBound ?? 0})`,
  'dark-owner': () => 'the owners before it are unreachable, removed or already tried',
  'failing-owner': () => 'the owners before it failed recently, here or at other routers',
  emergency: () => 'no server that has entered service was usable',
};

const isReasonType = (type: string | undefined): type is ReasonType =>
  type !== undefined && Object.hasOwn(reasonTexts, type);

const reasonClauseOf = (reason: Facts['reason']): string => {
  if (reason === undefined || !isReasonType(reason.type)) return '';
  return `, since ${reasonTexts[reason.type](reason)}${reason.cold === true ? '; the opening was not in its cache' : ''}`;
};

const stepSentences: Readonly<Record<string, (facts: Facts) => string>> = {
  deliver: ({ attempt, server, fromPiece, extra, reason }) =>
    [
      attempt === 1
        ? `went to ${server}`
        : `was ${(fromPiece ?? 0) > 0 ? `carried over at piece ${fromPiece}` : 'tried again'}, attempt ${attempt}, at ${server}`,
      extra === true ? ' (an extra try)' : '',
      reasonClauseOf(reason),
    ].join(''),
  hold: ({ behind, server }) => `was held behind the prefill of the same opening that ${behind} had begun at ${server}`,
  'no link': ({ attempt }) => `attempt ${attempt}: could not connect to the server, nothing was sent`,
  failed: ({ attempt, error, message }) => `attempt ${attempt} failed: ${error} (${message})`,
  cancel: ({ attempt }) => `attempt ${attempt} was cancelled`,
  quota: ({ tenant, cost, source }) => `spent ${cost ?? 0} from the quota of ${tenant ?? ''} (${source ?? ''})`,
  refuse: ({ error, tenant, cost }) =>
    `was refused: ${error}${tenant === undefined ? '' : `, for a cost of ${cost ?? 0} from the quota of ${tenant}`}; it did not run and never will`,
  unknown: ({ error }) => `ended with an unknown outcome: ${error}; it may have run`,
  breakOff: ({ error }) => `was broken off, visibly: ${error}`,
  done: ({ pieces }) => `ended well after ${pieces} pieces`,
  abandoned: () => 'was abandoned: its client disconnected',
};

/** One step of a trace as a sentence; a step of an unknown kind is printed as JSON. */
export const explainStep = ({ what, facts }: TraceStep): string =>
  validate(factsSchema, facts)
    .map((read) => stepSentences[what]?.(read))
    .orDefault(undefined) ?? `${what} ${JSON.stringify(facts)}`;
