import { createHash } from 'node:crypto';
import type { Rule } from '../../setup/document/rule.js';

/** The hash under which the core stores a claimed idempotency key; its fixed length bounds the size of the claim table. */
export const claimKeyOf = (rule: Rule, idempotencyKey: string): string =>
  createHash('sha256').update(rule.kind).update('/').update(idempotencyKey).digest('base64url').slice(0, 27);
