import type { QuotaReply, QuotaRequest } from '../../quota/quota-messages.js';
import type { Frame } from './frame.js';

type QuotaRequestFrame = Extract<Frame, { readonly type: 'quota-request' }>;
type QuotaReplyFrame = Extract<Frame, { readonly type: 'quota-reply' }>;

const isNonNegativeNumber = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

const isObject = (value: unknown): value is object => typeof value === 'object' && value !== null;

const isRequest = (value: unknown): value is QuotaRequest =>
  isObject(value) &&
  'tenant' in value &&
  typeof value.tenant === 'string' &&
  'needed' in value &&
  isNonNegativeNumber(value.needed) &&
  'wanted' in value &&
  isNonNegativeNumber(value.wanted) &&
  'takesPart' in value &&
  typeof value.takesPart === 'boolean';

const isReply = (value: unknown): value is QuotaReply => {
  if (!isObject(value) || !('type' in value)) return false;
  if (value.type === 'unavailable') return true;
  if (!('tokens' in value) || !isNonNegativeNumber(value.tokens)) return false;
  if (value.type === 'granted') return true;
  return (
    value.type === 'exhausted' &&
    'retryAfterUs' in value &&
    isNonNegativeNumber(value.retryAfterUs) &&
    'left' in value &&
    isNonNegativeNumber(value.left)
  );
};

const hasAsk = (value: unknown, type: string): value is { readonly ask: number } =>
  isObject(value) && 'type' in value && value.type === type && 'ask' in value && Number.isSafeInteger(value.ask);

/** Validates a router's request for quota tokens without a schema library: one is sent every few client requests. */
export const isQuotaRequestFrame = (value: unknown): value is QuotaRequestFrame =>
  hasAsk(value, 'quota-request') && 'request' in value && isRequest(value.request);

/** Validates a quota store's reply. */
export const isQuotaReplyFrame = (value: unknown): value is QuotaReplyFrame =>
  hasAsk(value, 'quota-reply') && 'reply' in value && isReply(value.reply);
