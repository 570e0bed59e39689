import { createHash } from 'node:crypto';
import type { Rule } from '../../setup/document/rule.js';

/** The name under which the core keeps a caller's key: of one length, so that the table of claims has a known size. */
export const claimKeyOf = (rule: Rule, givenKey: string): string =>
  createHash('sha256').update(rule.kind).update('/').update(givenKey).digest('base64url').slice(0, 27);
