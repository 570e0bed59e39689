import { array, number, object } from 'yup';
import { setupSchema, warmupSchema } from './setup-schema.js';

export const recordSchema = object({
  revision: number().required().integer().min(1),
  takenAtUs: number().required().integer(),
  setup: setupSchema,
  epochs: array(object({ sinceUs: number().required().integer(), warmup: warmupSchema }).required()).required(),
}).required();
