import { array, mixed, number, object, string, type InferType } from 'yup';
import { isSetupRecord } from '../../setup/check/setup-guard.js';
import type { Snapshot } from '../log/snapshot.js';
import { memberSchema } from './command-guard.js';
import { decodeOutcomeHistory, encodeOutcomeHistory, outcomeHistorySchema } from './outcome-history-codec.js';

const claimPattern = /^\d+ \d+ \S+ \S+$/;

/** The encoded form of a snapshot, on the wire and on disk, with lists in place of maps. */
export const snapshotSchema = object({
  index: number().required().integer().min(0),
  term: number().required().integer().min(0),
  members: array(memberSchema).required(),
  clockUs: number().required().integer(),
  record: mixed(isSetupRecord).optional().default(undefined),
  orders: outcomeHistorySchema,
  /** Each claim as one text: bucket, time, exchange and key, separated by spaces. */
  claims: array(string().required().matches(claimPattern)).required(),
}).required();

export type PlainSnapshot = InferType<typeof snapshotSchema>;

export const encodeSnapshot = (snapshot: Snapshot): PlainSnapshot => ({
  index: snapshot.index,
  term: snapshot.term,
  members: [...snapshot.members],
  clockUs: snapshot.state.clockUs,
  record:
    snapshot.state.record === undefined
      ? undefined
      : { ...snapshot.state.record, ...mutableRecord(snapshot.state.record) },
  orders: encodeOutcomeHistory(snapshot.state),
  claims: [...snapshot.state.buckets].flatMap(([bucket, claims]) =>
    [...claims].map(([key, claim]) => `${bucket} ${claim.atUs} ${claim.exchange} ${key}`),
  ),
});

const mutableRecord = (record: NonNullable<Snapshot['state']['record']>) => ({
  epochs: [...record.epochs],
  setup: {
    ...record.setup,
    services: [...record.setup.services],
    tiers: [...record.setup.tiers],
    rules: [...record.setup.rules],
  },
});

export const decodeSnapshot = (plain: PlainSnapshot): Snapshot => {
  const buckets = new Map<number, Map<string, { readonly exchange: string; readonly atUs: number }>>();
  for (const claim of plain.claims) {
    const [bucketText = '', atText = '', exchange = '', key = ''] = claim.split(' ');
    const bucket =
      buckets.get(Number(bucketText)) ?? new Map<string, { readonly exchange: string; readonly atUs: number }>();
    bucket.set(key, { exchange, atUs: Number(atText) });
    buckets.set(Number(bucketText), bucket);
  }
  return {
    index: plain.index,
    term: plain.term,
    members: plain.members,
    state: {
      clockUs: plain.clockUs,
      record: plain.record,
      ...decodeOutcomeHistory(plain.orders),
      buckets,
      claimCount: plain.claims.length,
    },
  };
};
