import { isBase, recordBaseOf, recordDeltaOf, applyRecordDelta } from '../../setup/delta/record-delta.js';
import type { RecordBase, RecordDelta } from '../../setup/delta/record-delta.js';
import { shareUnchanged } from '../../setup/delta/share-unchanged.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import { announceChange } from './announce.js';
import { revisionOf } from './digest.js';
import type { GossipFrame } from './gossip-event.js';
import { withEffects, type GossipStep } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';

/** The number of earlier configurations that are retained as bases of deltas, and the total of their operators' texts. */
export const maxFormerRecords = 8;
const maxFormerTextChars = 8_000_000;

const textCharsOf = (record: SetupRecord): number => record.original?.text.length ?? 0;

/** The retained earlier configurations, newest first, within the limits on their number and text. */
const boundedRecords = (records: readonly SetupRecord[]): readonly SetupRecord[] => {
  let chars = 0;
  return records.slice(0, maxFormerRecords).filter((record) => {
    chars += textCharsOf(record);
    return chars <= maxFormerTextChars;
  });
};

/** Adopts a newer configuration and announces it; unchanged parts keep their object identity. */
export const adoptRecord = (view: GossipView, given: SetupRecord, from?: string): GossipStep => {
  if (given.revision <= revisionOf(view)) return withEffects(view);
  const record = shareUnchanged(view.record, given);
  const formerRecords = view.record === undefined ? [] : boundedRecords([view.record, ...view.formerRecords]);
  return announceChange({ ...view, record, formerRecords }, { type: 'setup', record }, from);
};

/** The configuration in force and the retained earlier ones, newest first. */
const knownRecords = (view: GossipView): readonly SetupRecord[] =>
  view.record === undefined ? [] : [view.record, ...view.formerRecords];

/** The base on which a peer can build a delta for this node; undefined without a configuration. */
export const heldBaseOf = (view: GossipView): RecordBase | undefined =>
  view.record === undefined ? undefined : recordBaseOf(view.record);

/** An inquiry without a base, to which a peer responds with its whole configuration. */
const wholeInquiryOf = (view: GossipView): GossipFrame => ({
  type: 'inquire',
  inquiry: view.inquiry,
  revision: revisionOf(view),
  version: view.list?.version ?? 0,
});

/**
 * Applies a delta. Its base may be an earlier configuration than the one in force, if two peers responded at the same
 * time. If the base is not retained, or the result does not match the digest in the delta, the whole configuration is
 * requested from the sender.
 */
export const applyDelta = (view: GossipView, delta: RecordDelta, from: string): GossipStep => {
  if (delta.revision <= revisionOf(view)) return withEffects(view);
  const base = knownRecords(view).find((record) => isBase(record, delta.base));
  const record = base === undefined ? undefined : applyRecordDelta(base, delta);
  return record === undefined
    ? withEffects(view, { type: 'send', address: from, frame: wholeInquiryOf(view) })
    : adoptRecord(view, record, from);
};

/** The latest delta computed from each base: many peers hold the same one. */
const cachedDeltas = new WeakMap<SetupRecord, { readonly target: SetupRecord; readonly delta: RecordDelta }>();

const deltaBetween = (base: SetupRecord, target: SetupRecord): RecordDelta => {
  const cached = cachedDeltas.get(base);
  if (cached?.target === target) return cached.delta;
  const delta = recordDeltaOf(base, target);
  cachedDeltas.set(base, { target, delta });
  return delta;
};

/** The frame that brings a peer at `revision` up to date; undefined if it lacks nothing. */
export const configurationFrameFor = (
  view: GossipView,
  revision: number,
  base: RecordBase | undefined,
): GossipFrame | undefined => {
  const { record } = view;
  if (record === undefined || revision >= record.revision) return undefined;
  const baseRecord = base && view.formerRecords.find((former) => isBase(former, base));
  return baseRecord === undefined
    ? { type: 'setup', record }
    : { type: 'setup-delta', delta: deltaBetween(baseRecord, record) };
};
