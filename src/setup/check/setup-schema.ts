import { array, boolean, number, object, string } from 'yup';
import { tenantNamePattern } from './tenant-faults.js';
import { durationUs, maxGraceUs, nameSchema, integerBetween } from './field-schemas.js';

const minuteUs = 60_000_000;
/** The maximum of `retry.fraction`. */
export const maxRetryFraction = 0.2;
/** The maximum of `retry.fleetExtra`. */
export const maxFleetExtra = 10_000;

/** Whether no two items have the same name, or the same kind for rules. */
const hasUniqueNames = (values: readonly { readonly name?: string; readonly kind?: string }[] | undefined): boolean => {
  const names = (values ?? []).map((value) => value.name ?? value.kind);
  return new Set(names).size === names.length;
};

export const warmupSchema = object({
  vnodes: integerBetween(1, 256),
  prefixesPerRange: integerBetween(1, 100_000),
  paceUs: durationUs(1_000, minuteUs),
  boundUs: durationUs(0, 60 * minuteUs),
  settleUs: durationUs(0, 60 * minuteUs),
  staleUs: durationUs(1_000_000, 1440 * minuteUs),
})
  .required()
  .noUnknown();

const keyPattern = /^[\x21-\x7e]{1,255}$/;
const maxQuotaUnits = 1e15;

const quotaAmount = () => number().required().min(0).max(maxQuotaUnits);

/** Error messages must not contain the key: keys are secrets, and faults are logged. */
const keySchema = string()
  .required()
  .typeError('${path} must be a string')
  .test('form', '${path} must have 1 to 255 visible ASCII characters', (key) => keyPattern.test(key));

const tenantSchema = object({
  name: string().required().matches(tenantNamePattern, '${path} must have 1 to 255 visible ASCII characters'),
  keys: array(keySchema).required().typeError('${path} must be a list of strings'),
  tier: string().optional(),
  quota: object({
    unit: string()
      .required()
      .oneOf(['requests', 'tokens'] as const),
    ratePerSecond: quotaAmount(),
    burst: quotaAmount(),
    defaultTokens: quotaAmount(),
  })
    .noUnknown()
    .optional()
    .default(undefined),
}).noUnknown();

const serviceSchema = object({
  name: nameSchema(),
  type: string()
    .required()
    .oneOf(['model', 'web'] as const),
  mostLinks: number().integer().min(1),
  engine: object({ slots: integerBetween(1, 100_000), memoryTokens: integerBetween(1, 1_000_000_000) })
    .noUnknown()
    .optional()
    .default(undefined),
}).noUnknown();

const tierSchema = object({
  name: nameSchema(),
  weight: number().required().moreThan(0).max(1000),
  share: number().required().moreThan(0).max(1),
}).noUnknown();

const ruleSchema = object({
  kind: nameSchema(),
  service: nameSchema(),
  split: array(
    object({ service: nameSchema(), weight: number().required().min(0).max(1_000_000) })
      .noUnknown()
      .required(),
  )
    .optional()
    .min(1),
  match: object({
    host: string().required().max(255),
    path: string().required().max(4096).matches(/^\//, '${path} must begin with /'),
  })
    .noUnknown()
    .optional()
    .default(undefined),
  tier: nameSchema(),
  public: boolean().optional(),
  repeatable: boolean().required(),
  resumable: boolean().required(),
  streams: boolean().optional(),
  mostTries: number().integer().min(1).max(100),
  targetUs: number()
    .integer()
    .min(0)
    .max(60 * minuteUs),
  budgetUs: durationUs(1_000, 60 * minuteUs),
  firstPieceUs: durationUs(1_000, 60 * minuteUs),
  silenceUs: durationUs(1_000, 60 * minuteUs),
}).noUnknown();

/** The schema of a setup document; `checkSetup` adds the constraints between its fields. */
export const setupSchema = object({
  name: nameSchema(),
  fleet: object({ routers: integerBetween(1, 1000) })
    .noUnknown()
    .optional()
    .default(undefined),
  services: array(serviceSchema.required())
    .required()
    .min(1)
    .test('unique', '${path} names must be unique', hasUniqueNames),
  tiers: array(tierSchema.required()).required().min(1).test('unique', '${path} names must be unique', hasUniqueNames),
  rules: array(ruleSchema.required()).required().min(1).test('unique', '${path} kinds must be unique', hasUniqueNames),
  tenants: array(tenantSchema.required()).optional().default(undefined),
  warmup: warmupSchema,
  flight: object({ boundUs: durationUs(0, minuteUs) })
    .required()
    .noUnknown(),
  pressure: object({
    factor: number().required().min(1).max(100),
    floor: integerBetween(1, 10_000),
    slots: integerBetween(1, 100_000),
  })
    .required()
    .noUnknown(),
  retry: object({
    fraction: number().required().min(0).max(maxRetryFraction),
    fleetExtra: integerBetween(0, maxFleetExtra),
  })
    .required()
    .noUnknown(),
  callers: object({
    headBytes: integerBetween(1, 1 << 24),
    bodyBytes: integerBetween(0, 1 << 30),
    headUs: durationUs(1_000, 60 * minuteUs),
    idleUs: durationUs(1_000, 60 * minuteUs),
  })
    .noUnknown()
    .optional()
    .default(undefined),
  leaving: object({ graceUs: durationUs(0, maxGraceUs) })
    .required()
    .noUnknown(),
})
  .required()
  .noUnknown();
