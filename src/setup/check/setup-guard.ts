import type { RecordDelta } from '../delta/record-delta.js';
import type { Original } from '../document/original.js';
import type { SetupRecord } from '../document/setup-record.js';
import type { Setup } from '../document/setup.js';

type Fields = ReadonlyMap<string, unknown>;

const fieldsOf = (value: unknown): Fields | undefined =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? new Map<string, unknown>(Object.entries(value))
    : undefined;

const isFigure = (value: unknown): boolean => typeof value === 'number' && Number.isFinite(value);
const isName = (value: unknown): boolean => typeof value === 'string';
const isFlag = (value: unknown): boolean => typeof value === 'boolean';

type Check = (value: unknown) => boolean;

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

const hasWarmupForm = hasAll({
  vnodes: isFigure,
  prefixesPerRange: isFigure,
  paceUs: isFigure,
  boundUs: isFigure,
  settleUs: isFigure,
  staleUs: isFigure,
});

const hasServiceForm = hasAll({ name: isName, type: (value) => value === 'model' || value === 'web' });

const hasTierForm = hasAll({ name: isName, weight: isFigure, share: isFigure });

const hasRuleForm = hasAll({
  kind: isName,
  service: isName,
  tier: isName,
  repeatable: isFlag,
  resumable: isFlag,
  budgetUs: isFigure,
  firstPieceUs: isFigure,
  silenceUs: isFigure,
});

const hasQuotaForm = hasAll({
  unit: (value) => value === 'requests' || value === 'tokens',
  ratePerSecond: isFigure,
  burst: isFigure,
  defaultTokens: isFigure,
});

const hasTenantForm = hasAll({
  name: isName,
  keys: isListOf(isName),
  tier: (value) => value === undefined || isName(value),
  quota: (value) => value === undefined || hasQuotaForm(value),
});

const figureChecks: Readonly<Record<string, Check>> = {
  name: isName,
  fleet: (value) => value === undefined || hasAll({ routers: isFigure })(value),
  warmup: hasWarmupForm,
  flight: hasAll({ boundUs: isFigure }),
  pressure: hasAll({ factor: isFigure, floor: isFigure, slots: isFigure }),
  retry: hasAll({ fraction: isFigure, fleetExtra: isFigure }),
  leaving: hasAll({ graceUs: isFigure }),
};

const hasSetupForm = hasAll({
  ...figureChecks,
  services: isListOf(hasServiceForm),
  tiers: isListOf(hasTierForm),
  rules: isListOf(hasRuleForm),
  tenants: (value) => value === undefined || isListOf(hasTenantForm)(value),
});

const hasEpochForm = hasAll({ sinceUs: isFigure, warmup: hasWarmupForm });

const hasOriginalForm = hasAll({ version: (value) => Number.isSafeInteger(value) && Number(value) >= 0, text: isName });

const hasRecordForm = hasAll({
  revision: (value) => Number.isSafeInteger(value) && Number(value) >= 1,
  takenAtUs: isFigure,
  setup: hasSetupForm,
  original: (value) => value === undefined || hasOriginalForm(value),
  epochs: isListOf(hasEpochForm),
});

const isCount: Check = (value) => Number.isSafeInteger(value) && Number(value) >= 0;

const isEditsOf = (check: Check): Check => {
  const isKeep = hasAll({ type: (type) => type === 'keep', from: isCount, count: isCount });
  const isInsert = hasAll({ type: (type) => type === 'insert', items: isListOf(check) });
  return isListOf((value) => isKeep(value) || isInsert(value));
};

const hasDeltaForm = hasAll({
  base: hasAll({ revision: isCount, digest: isName }),
  revision: isCount,
  takenAtUs: isFigure,
  digest: isName,
  services: isEditsOf(hasServiceForm),
  tiers: isEditsOf(hasTierForm),
  rules: isEditsOf(hasRuleForm),
  tenants: (value) => value === undefined || isEditsOf(hasTenantForm)(value),
  epochs: isEditsOf(hasEpochForm),
  figures: (value) => value === undefined || hasAll(figureChecks)(value),
  original: (value) => value === undefined || hasAll({ version: isCount, text: isEditsOf(isName) })(value),
});

/**
 * The form of a setup between the fleet's own processes. What operators send is checked in full, by path, at the desk;
 * a large setup passes every process several times after that, so there only its form is looked at, by hand.
 */
export const isSetup = (value: unknown): value is Setup => hasSetupForm(value);

export const isOriginal = (value: unknown): value is Original => hasOriginalForm(value);

const formedRecords = new WeakSet<object>();

/** A record never changes, so that each is looked at once. */
export const isSetupRecord = (value: unknown): value is SetupRecord => {
  if (typeof value !== 'object' || value === null) return false;
  if (formedRecords.has(value)) return true;
  if (!hasRecordForm(value)) return false;
  formedRecords.add(value);
  return true;
};

/** The form of a delta; what comes of it is checked by its digest. */
export const isRecordDelta = (value: unknown): value is RecordDelta => hasDeltaForm(value);
