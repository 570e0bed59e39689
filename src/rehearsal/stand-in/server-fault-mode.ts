/** How a server that answers probes treats its orders; a stuck one stops between pieces, an erring one runs nothing. */
export type ServerFaultMode = 'well' | 'slow' | 'stuck' | 'erring';
