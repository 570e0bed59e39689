import { readFileSync } from 'node:fs';
import { Either, Left } from 'purify-ts';
import { array, boolean, number, object, string } from 'yup';
import { validate } from '../../common/validate.js';
import { parseJson } from '../../common/json.js';
import type { Fault } from '../../common/fault.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import type { ControlSettings } from './control-settings.js';
import type { NodeSettings } from './node-settings.js';

const addressPattern = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/;

const address = () => string().required().matches(addressPattern, '${path} must be IP:port');
const plainName = () =>
  string()
    .required()
    .matches(
      /^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/,
      '${path} must be 1 to 63 letters, digits, underscores or dashes, and begin with a letter or digit',
    );

const areUnique = (values: readonly string[] | undefined): boolean =>
  new Set(values ?? []).size === (values ?? []).length;

const nodeFields = {
  node: plainName(),
  locality: plainName(),
  http: address(),
  partners: address(),
  partnersListen: string().optional().matches(addressPattern, '${path} must be IP:port'),
  fleet: plainName().optional(),
  memoryBytes: number()
    .integer()
    .min(16 << 20)
    .max(1e15)
    .optional(),
  terminationGraceUs: number().integer().min(500_000).max(3_600_000_000).optional(),
  seeds: array(address())
    .required()
    .min(1, 'seeds must be one to three addresses')
    .max(3, 'seeds must be one to three addresses')
    .test('unique', 'seeds must be different addresses', areUnique),
};

const routerSchema = object(nodeFields).noUnknown();

const controlSchema = object({
  ...nodeFields,
  data: string().required(),
  founds: boolean().optional(),
  voters: number().integer().min(1).max(9),
  quota: object({
    windowUs: number().required().integer().min(100_000).max(3_600_000_000),
    excess: number().required().min(0).max(10),
    margin: number().required().min(0).max(1e15),
  })
    .noUnknown()
    .optional()
    .default(undefined),
  ringFiles: number().required().integer().min(2).max(16),
  ringFileBytes: number()
    .required()
    .integer()
    .min(16 << 20)
    .max(1 << 30),
}).noUnknown();

const badSettings = (faults: readonly Fault[]): TypedError =>
  typedError('bad-settings', faults.map((fault) => `${fault.path || 'settings'}: ${fault.message}`).join('\n'), faults);

export const checkRouterSettings = (value: unknown): Either<TypedError, NodeSettings> =>
  validate(routerSchema, value).mapLeft(badSettings);

export const checkControlSettings = (value: unknown): Either<TypedError, ControlSettings> =>
  validate(controlSchema, value).mapLeft(badSettings);

const objectSchema = object().required();

/** Reads a settings file; an empty object if no path is given. */
export const readSettingsFile = (path: string | undefined): Either<TypedError, object> => {
  if (path === undefined) return Either.of({});
  try {
    return parseJson(readFileSync(path, 'utf8'), 'bad-settings').chain((value) =>
      validate(objectSchema, value).mapLeft(badSettings),
    );
  } catch (thrown) {
    return Left(typedError('bad-settings', `${path}: ${messageOf(thrown)}`));
  }
};
