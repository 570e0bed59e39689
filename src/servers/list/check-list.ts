import { Either } from 'purify-ts';
import { array, number, object, string } from 'yup';
import { validate } from '../../common/validate.js';
import type { Fault } from '../../common/fault.js';
import type { ServerList } from './server-list.js';

const identifier = () =>
  string()
    .required()
    .matches(
      /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/,
      '${path} must be 1 to 128 letters, digits, dots, underscores or hyphens, and begin with a letter or digit',
    );

export const listSchema = object({
  version: number().required().integer().min(1),
  atUs: number().required().integer().min(0),
  servers: array(
    object({
      id: identifier(),
      incarnation: identifier(),
      service: identifier(),
      address: string()
        .required()
        .matches(/^[0-9.]+:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/, '${path} must be IP:port'),
      locality: identifier(),
      listedAtUs: number().required().integer().min(0),
      state: string()
        .required()
        .oneOf(['up', 'leaving'] as const),
      leavingAtUs: number().integer().min(0),
      weights: identifier().optional(),
      weightsAtUs: number().integer().min(0),
      slots: number().integer().min(0),
    })
      .required()
      .noUnknown()
      .test(
        'leaving',
        '${path} has state leaving without leavingAtUs',
        (server) => server.state !== 'leaving' || server.leavingAtUs !== undefined,
      ),
  )
    .required()
    .test(
      'unique',
      'servers must have unique ids',
      (servers) => new Set(servers.map((server) => server.id)).size === servers.length,
    ),
})
  .required()
  .noUnknown();

/** Validates a list that the platform pushed. Left with every fault found. */
export const checkList = (value: unknown): Either<readonly Fault[], ServerList> => validate(listSchema, value);
