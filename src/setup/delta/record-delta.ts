import { itemJson, sortedJson } from '../document/canonical-json.js';
import type { Rule } from '../document/rule.js';
import type { Service } from '../document/service.js';
import type { SetupRecord } from '../document/setup-record.js';
import type { Setup } from '../document/setup.js';
import type { Tenant } from '../document/tenant.js';
import type { Tier } from '../document/tier.js';
import type { WarmupEpoch } from '../document/warmup-epoch.js';
import { listEditsOf, applyListEdits, type ListEdit } from './list-edit.js';
import { recordDigestOf } from './record-digest.js';

/** The fields of a setup that are not lists. */
export type SetupFigures = Omit<Setup, 'services' | 'tiers' | 'rules' | 'tenants'>;

/**
 * Identifies one record. The revision alone is not unique: a core that lost all of its data may assign a revision again
 * to different content.
 */
export type RecordBase = { readonly revision: number; readonly digest: string };

/** The identification of a record, by which a delta refers to its base. */
export const recordBaseOf = (record: SetupRecord): RecordBase => ({
  revision: record.revision,
  digest: recordDigestOf(record),
});

/** Whether a record is the one identified by `base`. */
export const isBase = (record: SetupRecord, base: RecordBase): boolean =>
  record.revision === base.revision && recordDigestOf(record) === base.digest;

/** The difference between a base record and a newer record, with the digests of both. */
export type RecordDelta = {
  readonly base: RecordBase;
  readonly revision: number;
  readonly takenAtUs: number;
  /** The digest of the resulting record. */
  readonly digest: string;
  readonly services: readonly ListEdit<Service>[];
  readonly tiers: readonly ListEdit<Tier>[];
  readonly rules: readonly ListEdit<Rule>[];
  /** Present only if the newer record has tenants. */
  readonly tenants?: readonly ListEdit<Tenant>[];
  readonly epochs: readonly ListEdit<WarmupEpoch>[];
  /** Present only if one of these fields differs. */
  readonly figures?: SetupFigures;
  /** Present only if the newer record has an original; the edits apply to the pieces of the text. */
  readonly original?: { readonly version: number; readonly text: readonly ListEdit<string>[] };
};

const partsOf = ({ services, tiers, rules, tenants, ...figures }: Setup) => ({
  lists: { services, tiers, rules, tenants },
  figures,
});

const figuresOf = (setup: Setup): SetupFigures => partsOf(setup).figures;

/**
 * Splits the operator's text into the pieces by which it is compared. Each piece ends with a closing brace, as every
 * item of a list does.
 */
const piecesOf = (text: string): readonly string[] => text.split(/(?<=\})/);

/** The delta from a base record to a newer one. */
export const recordDeltaOf = (base: SetupRecord, target: SetupRecord): RecordDelta => {
  const figures = figuresOf(target.setup);
  const hasSameFigures = sortedJson(figures) === sortedJson(figuresOf(base.setup));
  return {
    base: recordBaseOf(base),
    revision: target.revision,
    takenAtUs: target.takenAtUs,
    digest: recordDigestOf(target),
    services: listEditsOf(base.setup.services, target.setup.services, itemJson),
    tiers: listEditsOf(base.setup.tiers, target.setup.tiers, itemJson),
    rules: listEditsOf(base.setup.rules, target.setup.rules, itemJson),
    ...(target.setup.tenants === undefined
      ? {}
      : { tenants: listEditsOf(base.setup.tenants ?? [], target.setup.tenants, itemJson) }),
    epochs: listEditsOf(base.epochs, target.epochs, itemJson),
    ...(hasSameFigures ? {} : { figures }),
    ...(target.original === undefined
      ? {}
      : {
          original: {
            version: target.original.version,
            text: listEditsOf(piecesOf(base.original?.text ?? ''), piecesOf(target.original.text), (piece) => piece),
          },
        }),
  };
};

/** The tenants after a delta, as a field to spread; undefined if the edits do not apply. */
const tenantsAfter = (
  base: SetupRecord,
  { tenants: edits }: RecordDelta,
): { readonly tenants?: readonly Tenant[] } | undefined => {
  if (edits === undefined) return {};
  const tenants = applyListEdits(base.setup.tenants ?? [], edits);
  return tenants === undefined ? undefined : { tenants };
};

/** The operator's document after a delta, as a field to spread; undefined if the edits do not apply. */
const originalAfter = (
  base: SetupRecord,
  { original }: RecordDelta,
): { readonly original?: SetupRecord['original'] } | undefined => {
  if (original === undefined) return {};
  const pieces = applyListEdits(piecesOf(base.original?.text ?? ''), original.text);
  return pieces === undefined ? undefined : { original: { version: original.version, text: pieces.join('') } };
};

/**
 * Applies a delta to its base record. Returns undefined if the record is not the base of the delta, or if the digest of
 * the result does not match. Unchanged items of lists are shared with the base, not copied.
 */
export const applyRecordDelta = (base: SetupRecord, delta: RecordDelta): SetupRecord | undefined => {
  if (!isBase(base, delta.base)) return undefined;
  const services = applyListEdits(base.setup.services, delta.services);
  const tiers = applyListEdits(base.setup.tiers, delta.tiers);
  const rules = applyListEdits(base.setup.rules, delta.rules);
  const epochs = applyListEdits(base.epochs, delta.epochs);
  const original = originalAfter(base, delta);
  if (services === undefined || tiers === undefined || rules === undefined || epochs === undefined) return undefined;
  const tenants = tenantsAfter(base, delta);
  if (original === undefined || tenants === undefined) return undefined;
  const record: SetupRecord = {
    revision: delta.revision,
    takenAtUs: delta.takenAtUs,
    setup: { ...(delta.figures ?? figuresOf(base.setup)), services, tiers, rules, ...tenants },
    ...original,
    epochs,
  };
  return recordDigestOf(record) === delta.digest ? record : undefined;
};
