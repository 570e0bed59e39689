import { isBase, recordBaseOf, recordDeltaOf, withRecordDelta } from '../../setup/delta/record-delta.js';
import type { RecordBase, RecordDelta } from '../../setup/delta/record-delta.js';
import { sharedRecord } from '../../setup/delta/shared-record.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import { told } from './announce.js';
import { revisionOf } from './digest.js';
import type { SpreadFrame } from './spread-event.js';
import { stepped, type SpreadStep } from './spread-step.js';
import type { SpreadView } from './spread-view.js';

/** So many earlier configurations are kept as bases of deltas, and so much of operators' text in them. */
export const maxFormerRecords = 8;
const maxFormerTextChars = 8_000_000;

const textCharsOf = (record: SetupRecord): number => record.original?.text.length ?? 0;

/** The earlier configurations that are still kept, the last one first. */
const boundedRecords = (records: readonly SetupRecord[]): readonly SetupRecord[] => {
  let chars = 0;
  return records.slice(0, maxFormerRecords).filter((record) => {
    chars += textCharsOf(record);
    return chars <= maxFormerTextChars;
  });
};

/** Takes a newer configuration into force and announces it; what did not change keeps its identity. */
export const withRecord = (view: SpreadView, given: SetupRecord, from?: string): SpreadStep => {
  if (given.revision <= revisionOf(view)) return stepped(view);
  const record = sharedRecord(view.record, given);
  const formerRecords = view.record === undefined ? [] : boundedRecords([view.record, ...view.formerRecords]);
  return told({ ...view, record, formerRecords }, { type: 'setup', record }, from);
};

/** The configurations that are known here, the newest first. */
const knownRecords = (view: SpreadView): readonly SetupRecord[] =>
  view.record === undefined ? [] : [view.record, ...view.formerRecords];

/** What the holder of this view asks a partner to build a delta on. */
export const heldBaseOf = (view: SpreadView): RecordBase | undefined =>
  view.record === undefined ? undefined : recordBaseOf(view.record);

/** Asks one partner for its whole configuration. */
const wholeInquiryOf = (view: SpreadView): SpreadFrame => ({
  type: 'inquire',
  inquiry: view.inquiry,
  revision: revisionOf(view),
  version: view.list?.version ?? 0,
});

/**
 * Takes a delta. It may build on an earlier configuration than the one in force, when two partners answered at once. One
 * that fits nothing known here, or that does not come to the digest of its sender, is replaced by the whole.
 */
export const withDelta = (view: SpreadView, delta: RecordDelta, from: string): SpreadStep => {
  if (delta.revision <= revisionOf(view)) return stepped(view);
  const base = knownRecords(view).find((record) => isBase(record, delta.base));
  const record = base === undefined ? undefined : withRecordDelta(base, delta);
  return record === undefined
    ? stepped(view, { type: 'send', address: from, frame: wholeInquiryOf(view) })
    : withRecord(view, record, from);
};

/** The last delta that was made from each base, since many partners hold the same one. */
const knownDeltas = new WeakMap<SetupRecord, { readonly target: SetupRecord; readonly delta: RecordDelta }>();

const deltaBetween = (base: SetupRecord, target: SetupRecord): RecordDelta => {
  const known = knownDeltas.get(base);
  if (known?.target === target) return known.delta;
  const delta = recordDeltaOf(base, target);
  knownDeltas.set(base, { target, delta });
  return delta;
};

/** The frame that brings a partner up to date; none where it lacks nothing. */
export const configurationFrameFor = (
  view: SpreadView,
  revision: number,
  base: RecordBase | undefined,
): SpreadFrame | undefined => {
  const { record } = view;
  if (record === undefined || revision >= record.revision) return undefined;
  const baseRecord = base && view.formerRecords.find((former) => isBase(former, base));
  return baseRecord === undefined
    ? { type: 'setup', record }
    : { type: 'setup-delta', delta: deltaBetween(baseRecord, record) };
};
