/** The unit of a quota: requests, or the tokens that requests read and write. */
export type QuotaUnit = 'requests' | 'tokens';
