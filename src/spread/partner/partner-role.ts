/** The two kinds of process. */
export type PartnerRole = 'router' | 'control';
