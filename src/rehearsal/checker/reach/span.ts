import type { Micros } from '../../../common/micros.js';

/** A time with a beginning and an end; the end may never have come. */
export type Span = { readonly fromUs: Micros; readonly untilUs: Micros };
