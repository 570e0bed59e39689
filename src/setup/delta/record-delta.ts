import { itemText, orderedJson } from '../document/canonical-text.js';
import type { Rule } from '../document/rule.js';
import type { Service } from '../document/service.js';
import type { SetupRecord } from '../document/setup-record.js';
import type { Setup } from '../document/setup.js';
import type { Tenant } from '../document/tenant.js';
import type { Tier } from '../document/tier.js';
import type { WarmupEpoch } from '../document/warmup-epoch.js';
import { listEditsOf, withListEdits, type ListEdit } from './list-edit.js';
import { recordDigestOf } from './record-digest.js';

/** The fields of a setup that are no lists. */
export type SetupFigures = Omit<Setup, 'services' | 'tiers' | 'rules' | 'tenants'>;

/** Names one record: revisions alone may come twice with other content where a core lost everything. */
export type RecordBase = { readonly revision: number; readonly digest: string };

/** The name of a record. */
export const recordBaseOf = (record: SetupRecord): RecordBase => ({
  revision: record.revision,
  digest: recordDigestOf(record),
});

/** Whether a record is the one that a base names. */
export const isBase = (record: SetupRecord, base: RecordBase): boolean =>
  record.revision === base.revision && recordDigestOf(record) === base.digest;

/** What makes a newer record of a known one, with digests of both. */
export type RecordDelta = {
  readonly base: RecordBase;
  readonly revision: number;
  readonly takenAtUs: number;
  /** The digest of the record that comes of it. */
  readonly digest: string;
  readonly services: readonly ListEdit<Service>[];
  readonly tiers: readonly ListEdit<Tier>[];
  readonly rules: readonly ListEdit<Rule>[];
  /** Only where the newer record has tenants. */
  readonly tenants?: readonly ListEdit<Tenant>[];
  readonly epochs: readonly ListEdit<WarmupEpoch>[];
  /** Only where one of them differs. */
  readonly figures?: SetupFigures;
  readonly original?: { readonly version: number; readonly text: readonly ListEdit<string>[] };
};

const partsOf = ({ services, tiers, rules, tenants, ...figures }: Setup) => ({
  lists: { services, tiers, rules, tenants },
  figures,
});

const figuresOf = (setup: Setup): SetupFigures => partsOf(setup).figures;

/** The pieces by which the operator's text is compared: each ends with a closing brace, as every item of a list does. */
const piecesOf = (text: string): readonly string[] => text.split(/(?<=\})/);

/** The delta from a known record to a newer one. */
export const recordDeltaOf = (base: SetupRecord, target: SetupRecord): RecordDelta => {
  const figures = figuresOf(target.setup);
  const hasSameFigures = orderedJson(figures) === orderedJson(figuresOf(base.setup));
  return {
    base: recordBaseOf(base),
    revision: target.revision,
    takenAtUs: target.takenAtUs,
    digest: recordDigestOf(target),
    services: listEditsOf(base.setup.services, target.setup.services, itemText),
    tiers: listEditsOf(base.setup.tiers, target.setup.tiers, itemText),
    rules: listEditsOf(base.setup.rules, target.setup.rules, itemText),
    ...(target.setup.tenants === undefined
      ? {}
      : { tenants: listEditsOf(base.setup.tenants ?? [], target.setup.tenants, itemText) }),
    epochs: listEditsOf(base.epochs, target.epochs, itemText),
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

const tenantsAfter = (
  base: SetupRecord,
  { tenants: edits }: RecordDelta,
): { readonly tenants?: readonly Tenant[] } | undefined => {
  if (edits === undefined) return {};
  const tenants = withListEdits(base.setup.tenants ?? [], edits);
  return tenants === undefined ? undefined : { tenants };
};

const originalAfter = (
  base: SetupRecord,
  { original }: RecordDelta,
): { readonly original?: SetupRecord['original'] } | undefined => {
  if (original === undefined) return {};
  const pieces = withListEdits(piecesOf(base.original?.text ?? ''), original.text);
  return pieces === undefined ? undefined : { original: { version: original.version, text: pieces.join('') } };
};

/**
 * The record that a delta makes of its base; undefined where the base is another one or the result is not what the
 * sender had. Items that did not change are the very items of the base.
 */
export const withRecordDelta = (base: SetupRecord, delta: RecordDelta): SetupRecord | undefined => {
  if (!isBase(base, delta.base)) return undefined;
  const services = withListEdits(base.setup.services, delta.services);
  const tiers = withListEdits(base.setup.tiers, delta.tiers);
  const rules = withListEdits(base.setup.rules, delta.rules);
  const epochs = withListEdits(base.epochs, delta.epochs);
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
