import { array, boolean, number, object, string, type Schema } from 'yup';
import { literalType } from '../../common/union.js';
import { listSchema } from '../../servers/list/check-list.js';
import { recordSchema } from '../../setup/check/record-schema.js';
import type { DecisionEvent } from '../machine/event/decision-event.js';

const at = () => number().required().integer().min(0);
const name = () => string().required().min(1).max(256);
const attempt = () => number().required().integer().min(1);

const deliveryErrors = [
  'no-link',
  'link-lost',
  'wrong-service',
  'turned-away',
  'server-error',
  'too-slow',
  'silent',
  'bad-stream',
  'oversized-event',
  'over-memory',
  'key-revoked',
] as const;

/** The schema of each event in a trace, by type. */
export const eventSchemas: { readonly [T in DecisionEvent['type']]: Schema<DecisionEvent> } = {
  node: object({ type: literalType('node'), at: at(), node: name() }).noUnknown(),
  setup: object({ type: literalType('setup'), at: at(), record: recordSchema }).noUnknown(),
  list: object({ type: literalType('list'), at: at(), list: listSchema }).noUnknown(),
  fleet: object({ type: literalType('fleet'), at: at(), routers: number().required().integer().min(1) }).noUnknown(),
  gap: object({ type: literalType('gap'), at: at(), spanUs: at() }).noUnknown(),
  time: object({ type: literalType('time'), at: at(), platformUs: at() }).noUnknown(),
  exchange: object({
    type: literalType('exchange'),
    at: at(),
    exchange: name(),
    kind: name(),
    prefix: name(),
    budgetUs: number().integer().min(1),
    service: string().min(1).max(256),
    tier: string().min(1).max(256),
    work: object({
      levels: array(object({ prefix: name(), tokens: at() }).noUnknown().required()).required(),
      readTokens: at(),
      writeTokens: at(),
    })
      .noUnknown()
      .optional()
      .default(undefined),
  }).noUnknown(),
  sent: object({ type: literalType('sent'), at: at(), exchange: name(), attempt: attempt() }).noUnknown(),
  firstPiece: object({ type: literalType('firstPiece'), at: at(), exchange: name(), attempt: attempt() }).noUnknown(),
  failed: object({
    type: literalType('failed'),
    at: at(),
    exchange: name(),
    attempt: attempt(),
    sent: boolean().required(),
    pieces: at(),
    error: string().required().oneOf(deliveryErrors),
    notRun: boolean(),
    positionUnknown: boolean(),
  }).noUnknown(),
  done: object({ type: literalType('done'), at: at(), exchange: name(), attempt: attempt() }).noUnknown(),
  abandoned: object({ type: literalType('abandoned'), at: at(), exchange: name() }).noUnknown(),
  work: object({ type: literalType('work'), at: at(), server: name(), service: name(), tokens: at() }).noUnknown(),
  failure: object({
    type: literalType('failure'),
    at: at(),
    server: name(),
    cause: string()
      .required()
      .oneOf(['unreachable', 'failed'] as const),
  }).noUnknown(),
  load: object({
    type: literalType('load'),
    at: at(),
    server: name(),
    running: at(),
    waiting: at(),
    slots: at(),
  }).noUnknown(),
  dark: object({ type: literalType('dark'), at: at(), server: name() }).noUnknown(),
  light: object({ type: literalType('light'), at: at(), server: name() }).noUnknown(),
  tick: object({ type: literalType('tick'), at: at() }).noUnknown(),
  drain: object({ type: literalType('drain'), at: at() }).noUnknown(),
  shutdown: object({ type: literalType('shutdown'), at: at() }).noUnknown(),
};
