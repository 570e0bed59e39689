import { createHash } from 'node:crypto';

/** Identifies a shared prompt prefix by a hash, so that no client text is stored. */
export type Prefix = string;

export const prefixOf = (service: string, opening: string): Prefix =>
  createHash('sha256').update(service).update('\0').update(opening).digest('hex').slice(0, 16);
