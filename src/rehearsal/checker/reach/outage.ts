import type { OutageType } from '../../history/outage-type.js';
import type { Span } from './span.js';

/** How long something was hit by something. */
export type Outage = Span & { readonly who: string; readonly what: OutageType };
