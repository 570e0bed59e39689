import { createHash } from 'node:crypto';

/** The name of a shared opening: a hash, so that no client text is kept. */
export type Prefix = string;

export const prefixOf = (service: string, opening: string): Prefix =>
  createHash('sha256').update(service).update('\0').update(opening).digest('hex').slice(0, 16);
