import { array, number, object, string } from 'yup';
import type { AskedList } from './asked-list.js';
import { listSchema } from './check-list.js';
import type { ServerList } from './server-list.js';

const whole = () => number().required().integer().min(0);
const name = () => string().required();

const askedListSchema = object({
  version: whole(),
  atUs: whole(),
  digest: name(),
  floorUs: whole(),
  spent: whole(),
  servers: array(
    object({
      id: name(),
      incarnation: name(),
      service: name(),
      address: name(),
      locality: name(),
      listedAtUs: whole(),
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
        '${path} lacks the stamp of its state',
        ({ state, leavingAtUs, goneAtUs }) =>
          state === 'up' || (state === 'leaving' ? leavingAtUs !== undefined : goneAtUs !== undefined),
      ),
  ).required(),
})
  .required()
  .noUnknown();

/** Whether a value is a list as nodes hand it on, told or asked. */
export const isAnyList = (value: unknown): value is ServerList | AskedList =>
  listSchema.isValidSync(value, { strict: true }) || askedListSchema.isValidSync(value, { strict: true });
