import type { Micros } from '../../common/micros.js';

/** The beat of a fleet of few. */
export const digestSpanUs: Micros = 200_000;
const mostDigestSpanUs: Micros = 1_000_000;
/** Up to so many addresses a digest goes to all of them. */
export const fewAddresses = 16;
export const isolatedSpanUs: Micros = 1_500_000;
/** So long a fleet of few goes on telling a partner that was given up. */
export const forgottenSpanUs: Micros = 30_000_000;
/** So long a partner that was given up is remembered, and tried now and then. */
export const lostSpanUs: Micros = 600_000_000;
/** For so long one asked partner is given before another is asked for the same news. */
export const askSpanUs: Micros = 150_000;
/** A partner that is due to answer is asked again after each such span, and comes under suspicion with the last. */
export const probeSpanUs: Micros = 600_000;
export const probeTries = 3;
/** So long a partner that is under suspicion may refute it. */
export const suspectSpanUs: Micros = 4_000_000;
/** Without a partner heard, or a whole reading heard of, for so long, some partners are asked at once. */
export const uneasyHeardUs: Micros = 700_000;
export const uneasyReadUs: Micros = 900_000;
/** A reading is handed on at once only if it began so much later than the last one that was. */
export const pushedReadSpanUs: Micros = 300_000;
/** With differing membership for so long, the whole of it is asked for, and then not again for a while. */
export const differingSpanUs: Micros = 500_000;
export const wholeSpanUs: Micros = 1_000_000;

/** The number of addresses at which a fleet's beat begins to grow longer than that of a fleet of few. */
const fullBeatAddresses = 16;

/** A larger fleet beats more slowly, since news does not wait for the beat. */
export const beatUsOf = (addresses: number): Micros =>
  addresses <= fewAddresses
    ? digestSpanUs
    : Math.min(mostDigestSpanUs, Math.max(digestSpanUs, Math.round((digestSpanUs * addresses) / fullBeatAddresses)));

/** Into so many parts membership is divided when two compare it. */
export const crowdBuckets = 32;
