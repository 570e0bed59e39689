import { array, boolean, number, object, string, type InferType } from 'yup';

const amount = () => number().required().min(0);
const whole = (least = 0) => number().required().integer().min(least);

const engineSchema = object({
  slots: whole(1),
  queue: whole(),
  stepUs: amount(),
  perRunningUs: amount(),
  contextUsPerThousand: amount(),
  readTokensPerMs: amount(),
  pairsUsPerMillion: amount(),
  entryUs: whole(),
  chunk: whole(1),
  block: whole(1),
  stride: whole(1),
  memoryTokens: whole(1),
});

const partSchema = object({ tokens: amount(), spread: amount(), things: whole(1), skew: amount() });

const classSchema = object({
  kind: string().required(),
  service: string().required(),
  tier: whole(),
  perSecond: amount(),
  targetMs: amount(),
  gapMs: amount(),
  budgetMs: amount(),
  worth: amount(),
  lateWorth: amount(),
  repeatable: boolean().required(),
  resumable: boolean().required(),
  tries: whole(1),
  /** Of a web service: how long a request is worked on. */
  workMs: number().min(0),
  /** Of a model service: the shared parts of prompts, what is a request's own, and the tokens written. */
  parts: array(partSchema.required()).optional(),
  own: object({ tokens: amount(), spread: amount(), most: amount() }).optional().default(undefined),
  writeTokens: object({ mean: amount(), spread: amount(), most: amount() }).optional().default(undefined),
});

const faultSchema = object({
  kind: string()
    .required()
    .oneOf(['dark', 'crash', 'slow', 'reset', 'mute', 'burst', 'hot-prefix'] as const),
  atS: amount(),
  forS: amount(),
  /** The part of the servers, or of the requests of a class, that it concerns. */
  share: amount(),
  /** How strong it is: times slower or more, or the part of requests that fail. */
  strength: amount(),
  service: string().optional(),
  class: string().optional(),
});

/** The form of an experiment: a deployment, its load and what goes wrong. */
export const experimentSchema = object({
  name: string().required(),
  routers: whole(1),
  localities: whole(1),
  crossLocalityUs: whole(),
  clientUs: whole(),
  seconds: number().required().moreThan(0).max(3600),
  services: array(
    object({
      name: string().required(),
      type: string()
        .required()
        .oneOf(['model', 'web'] as const),
      servers: whole(1),
      slots: number().integer().min(1),
      queue: number().integer().min(0),
      engine: engineSchema.optional().default(undefined),
    }).required(),
  ).required(),
  classes: array(classSchema.required()).required(),
  faults: array(faultSchema.required()).required(),
}).required();

export type Experiment = InferType<typeof experimentSchema>;
export type ExperimentClass = Experiment['classes'][number];
export type ExperimentFault = Experiment['faults'][number];
