/** What a quota counts: whole requests, or the tokens that requests read and write. */
export type QuotaUnit = 'requests' | 'tokens';
