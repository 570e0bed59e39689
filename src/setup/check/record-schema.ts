import { array, number, object, string } from 'yup';
import { setupSchema, warmupSchema } from './setup-schema.js';

/** The schema of a stored setup record. */
export const recordSchema = object({
  revision: number().required().integer().min(1),
  takenAtUs: number().required().integer(),
  setup: setupSchema,
  original: object({ version: number().required().integer().min(0), text: string().required() })
    .optional()
    .default(undefined),
  epochs: array(object({ sinceUs: number().required().integer(), warmup: warmupSchema }).required()).required(),
}).required();
