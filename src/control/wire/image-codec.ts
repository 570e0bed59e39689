import { array, mixed, number, object, string, type InferType } from 'yup';
import { recordSchema } from '../../setup/check/record-schema.js';
import type { ControlImage } from '../log/control-image.js';
import { memberSchema } from './command-guard.js';
import { isProposalOutcome } from './outcome-guard.js';

/** The form of an image on the wire and on disk, with lists in place of maps. */
export const imageSchema = object({
  index: number().required().integer().min(0),
  term: number().required().integer().min(0),
  members: array(memberSchema).required(),
  clockUs: number().required().integer(),
  record: recordSchema.optional().default(undefined),
  proposals: array(object({ proposal: string().required(), outcome: mixed(isProposalOutcome).required() }).required()).required(),
  claims: array(
    object({
      shelf: number().required().integer(),
      key: string().required(),
      exchange: string().required(),
      atUs: number().required().integer(),
    }).required(),
  ).required(),
}).required();

export type PlainImage = InferType<typeof imageSchema>;

export const encodeImage = (image: ControlImage): PlainImage => ({
  index: image.index,
  term: image.term,
  members: [...image.members],
  clockUs: image.state.clockUs,
  record: image.state.record === undefined ? undefined : { ...image.state.record, ...mutableRecord(image.state.record) },
  proposals: [...image.state.proposals].map(([proposal, outcome]) => ({ proposal, outcome })),
  claims: [...image.state.shelves].flatMap(([shelf, claims]) =>
    [...claims].map(([key, claim]) => ({ shelf, key, exchange: claim.exchange, atUs: claim.atUs })),
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
    const shelf = shelves.get(claim.shelf) ?? new Map<string, { readonly exchange: string; readonly atUs: number }>();
    shelf.set(claim.key, { exchange: claim.exchange, atUs: claim.atUs });
    shelves.set(claim.shelf, shelf);
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
