/** What is thought of a partner: heard, not heard when it should have been, or given up. */
export type PartnerState = 'alive' | 'suspect' | 'dead';
