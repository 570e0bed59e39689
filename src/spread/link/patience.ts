import type { Micros } from '../../common/micros.js';

/** How long a sender has waited for a sign of its receiver. */
export type Patience = {
  readonly sentUs: Micros;
  /** When the first frame was sent that no sign has come for. */
  readonly owedUs: Micros | undefined;
};

/** How often a receiver gives a sign while frames come. */
export const signSpanUs: Micros = 400_000;
/** A link without a sign for so long, while frames are sent, leads nowhere: its receiver lost power or is cut off. */
const overdueUs: Micros = 1_500_000;
/** After such a pause between frames the receiver owes no sign for the former ones. */
const restUs: Micros = 800_000;

export const freshPatience: Patience = { sentUs: Number.NEGATIVE_INFINITY, owedUs: undefined };

export const patienceAfterSend = ({ sentUs, owedUs }: Patience, nowUs: Micros): Patience => ({
  sentUs: nowUs,
  owedUs: owedUs === undefined || nowUs > sentUs + restUs ? nowUs : owedUs,
});

export const isOverdue = ({ owedUs }: Patience, nowUs: Micros): boolean =>
  owedUs !== undefined && nowUs > owedUs + overdueUs;
