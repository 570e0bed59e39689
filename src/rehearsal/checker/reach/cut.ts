import type { Span } from './span.js';

/** How long nothing got from one to the other. */
export type Cut = Span & { readonly from: string; readonly to: string };
