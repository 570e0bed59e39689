import type { RecordDelta } from '../delta/record-delta.js';
import type { Original } from '../document/original.js';
import type { SetupRecord } from '../document/setup-record.js';
import type { Setup } from '../document/setup.js';

type Fields = ReadonlyMap<string, unknown>;

const fieldsOf = (value: unknown): Fields | undefined =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? new Map<string, unknown>(Object.entries(value))
    : undefined;

const isFiniteNumber = (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value);
const isString = (value: unknown): boolean => typeof value === 'string';
const isBoolean = (value: unknown): boolean => typeof value === 'boolean';

type Check = (value: unknown) => boolean;

/** Checks that a value is an object whose listed fields pass their checks; other fields are ignored. */
const hasAll =
  (checks: Readonly<Record<string, Check>>): Check =>
  (value) => {
    const fields = fieldsOf(value);
    return fields !== undefined && Object.entries(checks).every(([name, check]) => check(fields.get(name)));
  };

const isListOf =
  (check: Check): Check =>
  (value) =>
    Array.isArray(value) && value.every(check);

const isWarmup = hasAll({
  vnodes: isFiniteNumber,
  prefixesPerRange: isFiniteNumber,
  paceUs: isFiniteNumber,
  boundUs: isFiniteNumber,
  settleUs: isFiniteNumber,
  staleUs: isFiniteNumber,
});

const isService = hasAll({ name: isString, type: (value) => value === 'model' || value === 'web' });

const isTier = hasAll({ name: isString, weight: isFiniteNumber, share: isFiniteNumber });

const isRule = hasAll({
  kind: isString,
  service: isString,
  tier: isString,
  repeatable: isBoolean,
  resumable: isBoolean,
  budgetUs: isFiniteNumber,
  firstPieceUs: isFiniteNumber,
  silenceUs: isFiniteNumber,
});

const isQuota = hasAll({
  unit: (value) => value === 'requests' || value === 'tokens',
  ratePerSecond: isFiniteNumber,
  burst: isFiniteNumber,
  defaultTokens: isFiniteNumber,
});

const isTenant = hasAll({
  name: isString,
  keys: isListOf(isString),
  tier: (value) => value === undefined || isString(value),
  quota: (value) => value === undefined || isQuota(value),
});

/** The fields of a setup that are not lists. */
const scalarChecks: Readonly<Record<string, Check>> = {
  name: isString,
  fleet: (value) => value === undefined || hasAll({ routers: isFiniteNumber })(value),
  warmup: isWarmup,
  flight: hasAll({ boundUs: isFiniteNumber }),
  pressure: hasAll({ factor: isFiniteNumber, floor: isFiniteNumber, slots: isFiniteNumber }),
  retry: hasAll({ fraction: isFiniteNumber, fleetExtra: isFiniteNumber }),
  leaving: hasAll({ graceUs: isFiniteNumber }),
};

const hasSetupFields = hasAll({
  ...scalarChecks,
  services: isListOf(isService),
  tiers: isListOf(isTier),
  rules: isListOf(isRule),
  tenants: (value) => value === undefined || isListOf(isTenant)(value),
});

const isEpoch = hasAll({ sinceUs: isFiniteNumber, warmup: isWarmup });

const hasOriginalFields = hasAll({
  version: (value) => Number.isSafeInteger(value) && Number(value) >= 0,
  text: isString,
});

const hasRecordFields = hasAll({
  revision: (value) => Number.isSafeInteger(value) && Number(value) >= 1,
  takenAtUs: isFiniteNumber,
  setup: hasSetupFields,
  original: (value) => value === undefined || hasOriginalFields(value),
  epochs: isListOf(isEpoch),
});

const isCount: Check = (value) => Number.isSafeInteger(value) && Number(value) >= 0;

const isEditScriptOf = (check: Check): Check => {
  const isKeep = hasAll({ type: (type) => type === 'keep', from: isCount, count: isCount });
  const isInsert = hasAll({ type: (type) => type === 'insert', items: isListOf(check) });
  return isListOf((value) => isKeep(value) || isInsert(value));
};

const hasDeltaFields = hasAll({
  base: hasAll({ revision: isCount, digest: isString }),
  revision: isCount,
  takenAtUs: isFiniteNumber,
  digest: isString,
  services: isEditScriptOf(isService),
  tiers: isEditScriptOf(isTier),
  rules: isEditScriptOf(isRule),
  tenants: (value) => value === undefined || isEditScriptOf(isTenant)(value),
  epochs: isEditScriptOf(isEpoch),
  figures: (value) => value === undefined || hasAll(scalarChecks)(value),
  original: (value) => value === undefined || hasAll({ version: isCount, text: isEditScriptOf(isString) })(value),
});

/**
 * Whether a value from another process of the fleet has the structure of a setup. The control node that receives a
 * setup from an operator validates it in full. After that a large setup passes through every process several times,
 * where full validation would be too slow: hand-written checks cover the structure only.
 */
export const isSetup = (value: unknown): value is Setup => hasSetupFields(value);

/** Whether a value has the structure of an operator's document. */
export const isOriginal = (value: unknown): value is Original => hasOriginalFields(value);

const validRecords = new WeakSet<object>();

/** Whether a value has the structure of a setup record. Records are immutable, so a positive result is cached. */
export const isSetupRecord = (value: unknown): value is SetupRecord => {
  if (typeof value !== 'object' || value === null) return false;
  if (validRecords.has(value)) return true;
  if (!hasRecordFields(value)) return false;
  validRecords.add(value);
  return true;
};

/** Whether a value has the structure of a delta; the record that results from it is verified by its digest. */
export const isRecordDelta = (value: unknown): value is RecordDelta => hasDeltaFields(value);
