import { boolean, number, object, string, type InferType } from 'yup';
import { checked } from '../../common/checked.js';
import type { ReasonType } from '../../decision/machine/effect/reason-type.js';
import type { StoryStep } from './exchange-story.js';

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

const because: Readonly<Record<ReasonType, (reason: NonNullable<Facts['reason']>) => string>> = {
  ring: () => 'it owns the opening on the ring',
  'warm-up': ({ migration }) => `its opening was due in the warm-up of "${migration ?? ''}"`,
  settling: ({ migration }) => `it has newly taken the range over ("${migration ?? ''}") and a slot was free`,
  'paced-back': ({ migration }) =>
    `the new owner ("${migration ?? ''}") takes cold openings at a pace, so the former one serves`,
  'handing-over': ({ migration }) => `the owner is going ("${migration ?? ''}") and hands the opening over`,
  spill: ({ pressure, pressureBound }) =>
    `the owners before it were pressed to their bound or crowded (here ${pressure ?? 0} of ${pressureBound ?? 0})`,
  'dark-owner': () => 'the owners before it are dark, gone or had been tried',
  'failing-owner': () => 'the owners before it have failed of late, here or at other routers',
  emergency: () => 'no server that has entered could be used',
};

const isReason = (type: string | undefined): type is ReasonType => type !== undefined && Object.hasOwn(because, type);

const whyOf = (reason: Facts['reason']): string => {
  if (reason === undefined || !isReason(reason.type)) return '';
  return `, since ${because[reason.type](reason)}${reason.cold === true ? '; there the opening was cold' : ''}`;
};

const sentences: Readonly<Record<string, (facts: Facts) => string>> = {
  deliver: ({ attempt, server, fromPiece, extra, reason }) =>
    [
      attempt === 1
        ? `went to ${server}`
        : `was ${(fromPiece ?? 0) > 0 ? `carried over at piece ${fromPiece}` : 'tried again'}, attempt ${attempt}, at ${server}`,
      extra === true ? ' (an extra try)' : '',
      whyOf(reason),
    ].join(''),
  hold: ({ behind, server }) => `was held behind the prefill of the same opening that ${behind} had begun at ${server}`,
  'no link': ({ attempt }) => `attempt ${attempt}: no link to the server could be had, nothing was sent`,
  failed: ({ attempt, error, message }) => `attempt ${attempt} failed: ${error} (${message})`,
  cancel: ({ attempt }) => `attempt ${attempt} was given up`,
  quota: ({ tenant, cost, source }) => `spent ${cost ?? 0} of the quota of ${tenant ?? ''} (${source ?? ''})`,
  refuse: ({ error, tenant, cost }) =>
    `was refused: ${error}${tenant === undefined ? '' : `, at a cost of ${cost ?? 0} of the quota of ${tenant}`}; it did not run and never will`,
  unknown: ({ error }) => `ended with an unknown outcome: ${error}; it may have run`,
  breakOff: ({ error }) => `was broken off, visibly: ${error}`,
  done: ({ pieces }) => `ended well after ${pieces} pieces`,
  abandoned: () => 'was abandoned by its caller',
};

/** One step of a story as a sentence about the exchange. */
export const explainStep = ({ what, facts }: StoryStep): string =>
  checked(factsSchema, facts)
    .map((read) => sentences[what]?.(read))
    .orDefault(undefined) ?? `${what} ${JSON.stringify(facts)}`;
