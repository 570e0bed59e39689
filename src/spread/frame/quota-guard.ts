import type { QuotaReply, QuotaRequest } from '../../quota/quota-grant.js';
import type { Frame } from './frame.js';

type QuotaRequestFrame = Extract<Frame, { readonly type: 'quota-request' }>;
type QuotaReplyFrame = Extract<Frame, { readonly type: 'quota-reply' }>;

const isAmount = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value) && value >= 0;

const isObject = (value: unknown): value is object => typeof value === 'object' && value !== null;

const isRequest = (value: unknown): value is QuotaRequest =>
  isObject(value) &&
  'tenant' in value &&
  typeof value.tenant === 'string' &&
  'needed' in value &&
  isAmount(value.needed) &&
  'wanted' in value &&
  isAmount(value.wanted) &&
  'takesPart' in value &&
  typeof value.takesPart === 'boolean';

const isReply = (value: unknown): value is QuotaReply => {
  if (!isObject(value) || !('type' in value)) return false;
  if (value.type === 'unavailable') return true;
  if (!('tokens' in value) || !isAmount(value.tokens)) return false;
  if (value.type === 'granted') return true;
  return (
    value.type === 'exhausted' &&
    'retryAfterUs' in value &&
    isAmount(value.retryAfterUs) &&
    'left' in value &&
    isAmount(value.left)
  );
};

const hasAsk = (value: unknown, type: string): value is { readonly ask: number } =>
  isObject(value) && 'type' in value && value.type === type && 'ask' in value && Number.isSafeInteger(value.ask);

/** The form of a router's ask for tokens, looked at by hand: it comes with every few requests. */
export const isQuotaRequestFrame = (value: unknown): value is QuotaRequestFrame =>
  hasAsk(value, 'quota-request') && 'request' in value && isRequest(value.request);

/** The form of a store's reply. */
export const isQuotaReplyFrame = (value: unknown): value is QuotaReplyFrame =>
  hasAsk(value, 'quota-reply') && 'reply' in value && isReply(value.reply);
