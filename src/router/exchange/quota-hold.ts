/** What one request has spent of its tenant's quota, from its admission to its end. */
export type QuotaHold = {
  /** A try is sent to a server: the first one uses what was spent, each further one is charged anew. */
  readonly sent: () => void;
  /** A server has said that it did not run the try that was sent last. */
  readonly notRun: () => void;
  /** The request has ended; what was spent and not used is given back. */
  readonly end: () => void;
  /** For the story of the request; none where no quota counts it. */
  readonly facts?: { readonly tenant: string; readonly cost: number; readonly source: string };
};

/** The hold of a request that no quota counts. */
export const freeHold: QuotaHold = { sent: () => undefined, notRun: () => undefined, end: () => undefined };

/** What a hold asks of the reserves. */
export type QuotaAccount = {
  readonly refund: (tenant: string, tokens: number) => void;
  readonly charge: (tenant: string, tokens: number) => void;
};

/** Opens the hold of a request whose cost has been spent. */
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
