import type { RandomSource } from '../../../src/common/random.js';
import type { Site } from './site.js';
import type { TroubleFields, TroubleList } from './trouble.js';

/** What a recipe may use: the deployment, and how long the day is. */
export type DayFrame = { readonly site: Site; readonly lengthS: number };

/** One kind of trouble, and how its figures are drawn for a deployment. */
export type Recipe = {
  readonly kind: string;
  readonly list: TroubleList;
  readonly draw: (chance: RandomSource, frame: DayFrame) => TroubleFields;
};
