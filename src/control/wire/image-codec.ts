import { array, mixed, number, object, string, type InferType } from 'yup';
import { isSetupRecord } from '../../setup/check/setup-guard.js';
import type { ControlImage } from '../log/control-image.js';
import { memberSchema } from './command-guard.js';
import { isProposalOutcome } from './outcome-guard.js';

const claimForm = /^\d+ \d+ \S+ \S+$/;

/** The form of an image on the wire and on disk, with lists in place of maps. */
export const imageSchema = object({
  index: number().required().integer().min(0),
  term: number().required().integer().min(0),
  members: array(memberSchema).required(),
  clockUs: number().required().integer(),
  record: mixed(isSetupRecord).optional().default(undefined),
  proposals: array(
    object({ proposal: string().required(), outcome: mixed(isProposalOutcome).required() }).required(),
  ).required(),
  /** Each claim as one text: shelf, time, exchange and key. */
  claims: array(string().required().matches(claimForm)).required(),
}).required();

export type PlainImage = InferType<typeof imageSchema>;

export const encodeImage = (image: ControlImage): PlainImage => ({
  index: image.index,
  term: image.term,
  members: [...image.members],
  clockUs: image.state.clockUs,
  record:
    image.state.record === undefined ? undefined : { ...image.state.record, ...mutableRecord(image.state.record) },
  proposals: [...image.state.proposals].map(([proposal, outcome]) => ({ proposal, outcome })),
  claims: [...image.state.shelves].flatMap(([shelf, claims]) =>
    [...claims].map(([key, claim]) => `${shelf} ${claim.atUs} ${claim.exchange} ${key}`),
  ),
});

const mutableRecord = (record: NonNullable<ControlImage['state']['record']>) => ({
  epochs: [...record.epochs],
  setup: {
    ...record.setup,
    services: [...record.setup.services],
    tiers: [...record.setup.tiers],
    rules: [...record.setup.rules],
  },
});

export const decodeImage = (plain: PlainImage): ControlImage => {
  const shelves = new Map<number, Map<string, { readonly exchange: string; readonly atUs: number }>>();
  for (const claim of plain.claims) {
    const [shelfText = '', atText = '', exchange = '', key = ''] = claim.split(' ');
    const shelf =
      shelves.get(Number(shelfText)) ?? new Map<string, { readonly exchange: string; readonly atUs: number }>();
    shelf.set(key, { exchange, atUs: Number(atText) });
    shelves.set(Number(shelfText), shelf);
  }
  return {
    index: plain.index,
    term: plain.term,
    members: plain.members,
    state: {
      clockUs: plain.clockUs,
      record: plain.record,
      proposals: new Map(plain.proposals.map(({ proposal, outcome }) => [proposal, outcome])),
      shelves,
      claimCount: plain.claims.length,
    },
  };
};
