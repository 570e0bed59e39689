import type { ErrorType } from '../../common/error-type.js';

/** The HTTP status of a refusal: the exchange did not run and never will. */
export const refusalStatusOf = (error: ErrorType): number => {
  switch (error) {
    case 'unknown-key':
      return 401;
    case 'over-pressure':
    case 'over-quota':
      return 429;
    case 'unknown-kind':
    case 'bad-exchange':
      return 400;
    case 'unknown-place':
      return 404;
    case 'oversized-body':
      return 413;
    default:
      return 503;
  }
};

/** The HTTP status of an answer with unknown outcome: the exchange may have run. */
export const unknownStatusOf = (error: ErrorType): number => {
  switch (error) {
    case 'budget-passed':
      return 504;
    case 'repeated-key':
      return 409;
    default:
      return 502;
  }
};
