import type { Micros } from '../../common/micros.js';

/** A back end that ran at some time. */
export type ServerRecord = { readonly server: string; readonly service: string; readonly openedUs: Micros };
