/** The quota that one request has spent, from its admission to its end. */
export type QuotaHold = {
  /** Notes that an attempt is sent: the first uses what was spent at admission, each further one is charged again. */
  readonly sent: () => void;
  /** Notes that the server confirmed it did not run the last attempt; the next one is not charged again. */
  readonly notRun: () => void;
  /** Ends the hold; the cost is refunded unless an attempt may have used it. */
  readonly end: () => void;
  /** For the request's trace; undefined if no quota applies. */
  readonly facts?: { readonly tenant: string; readonly cost: number; readonly source: string };
};

/** The hold of a request to which no quota applies. */
export const unmeteredHold: QuotaHold = { sent: () => undefined, notRun: () => undefined, end: () => undefined };

/** The operations on a router's token reserves that a hold needs. */
export type QuotaAccount = {
  readonly refund: (tenant: string, tokens: number) => void;
  readonly charge: (tenant: string, tokens: number) => void;
};

/** Opens the hold of a request whose cost has already been spent. */
export const openQuotaHold = (account: QuotaAccount, facts: NonNullable<QuotaHold['facts']>): QuotaHold => {
  const { tenant, cost } = facts;
  let isUnused = true;
  let hasEnded = false;
  return {
    sent: () => {
      if (!isUnused) account.charge(tenant, cost);
      isUnused = false;
    },
    notRun: () => {
      isUnused = true;
    },
    end: () => {
      if (!hasEnded && isUnused) account.refund(tenant, cost);
      hasEnded = true;
    },
    facts,
  };
};
