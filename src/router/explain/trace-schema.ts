import { array, number, object, string } from 'yup';

/** The JSON form of a trace, over HTTP and in saved journals. */
export const traceSchema = object({
  exchange: string().required(),
  kind: string().required(),
  tier: string().required(),
  service: string().required(),
  setupRevision: number().required(),
  listVersion: number().required(),
  steps: array(
    object({ at: number().required(), what: string().required(), facts: object().required() }).required(),
  ).required(),
})
  .required()
  .noUnknown();
