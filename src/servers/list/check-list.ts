import { Either } from 'purify-ts';
import { array, number, object, string } from 'yup';
import { checked } from '../../common/checked.js';
import type { Fault } from '../../common/fault.js';
import type { ServerList } from './server-list.js';

const listedName = () =>
  string()
    .required()
    .matches(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, '${path} must be a plain name');

export const listSchema = object({
  version: number().required().integer().min(1),
  atUs: number().required().integer().min(0),
  servers: array(
    object({
      id: listedName(),
      incarnation: listedName(),
      service: listedName(),
      address: string()
        .required()
        .matches(/^[0-9.]+:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/, '${path} must be IP:port'),
      locality: listedName(),
      listedAtUs: number().required().integer().min(0),
      state: string()
        .required()
        .oneOf(['up', 'leaving'] as const),
      leavingAtUs: number().integer().min(0),
      weights: listedName().optional(),
      weightsAtUs: number().integer().min(0),
      slots: number().integer().min(0),
    })
      .required()
      .noUnknown()
      .test(
        'leaving',
        '${path} is leaving without leavingAtUs',
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

/** Checks a list from the platform whole. */
export const checkList = (value: unknown): Either<readonly Fault[], ServerList> => checked(listSchema, value);
