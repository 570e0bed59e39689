import { array, number, object, string } from 'yup';
import type { PolledList } from './polled-list.js';
import { listSchema } from './check-list.js';
import type { ServerList } from './server-list.js';

const nonNegativeInteger = () => number().required().integer().min(0);
const requiredString = () => string().required();

const polledListSchema = object({
  version: nonNegativeInteger(),
  atUs: nonNegativeInteger(),
  digest: requiredString(),
  floorUs: nonNegativeInteger(),
  spent: nonNegativeInteger(),
  servers: array(
    object({
      id: requiredString(),
      incarnation: requiredString(),
      service: requiredString(),
      address: requiredString(),
      locality: requiredString(),
      listedAtUs: nonNegativeInteger(),
      state: string()
        .required()
        .oneOf(['up', 'leaving', 'gone'] as const),
      leavingAtUs: number().integer().min(0),
      goneAtUs: number().integer().min(0),
      slots: number().integer().min(0),
      weights: string(),
      weightsAtUs: number().integer().min(0),
    })
      .required()
      .noUnknown()
      .test(
        'stamps',
        '${path} has state leaving without leavingAtUs or state gone without goneAtUs',
        ({ state, leavingAtUs, goneAtUs }) =>
          state === 'up' || (state === 'leaving' ? leavingAtUs !== undefined : goneAtUs !== undefined),
      ),
  ).required(),
})
  .required()
  .noUnknown();

/** Whether a value is a server list as nodes exchange it: pushed by the platform, or polled. */
export const isServerList = (value: unknown): value is ServerList | PolledList =>
  listSchema.isValidSync(value, { strict: true }) || polledListSchema.isValidSync(value, { strict: true });
