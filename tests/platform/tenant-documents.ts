import { setupOfDocument } from '../../platform/operator/setup-of-document.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { retryLimits } from './documents.js';
import { edgeDocument } from './raw/open-edge.js';

/** A tenant as the platform's operator writes it. */
export type DocumentTenant = {
  readonly name: string;
  readonly keys: readonly string[];
  readonly prio?: number;
  readonly unit?: string;
  readonly raw_toks?: number;
  readonly rate_s?: number;
  readonly burst?: number;
};

/** A place for prompts of a model service, whose requests of one prompt wait for each other. */
const modelRoute = {
  name: 'model',
  host: 'a.example',
  prefix: '/model/',
  kind: 'stream',
  timeout_ms: 5_000,
  target_ms: 300,
  prio: 1,
  svc: 'model',
  tries: 1,
  pin: true,
  resume: false,
  gap_target_ms: 500,
};

const openRoute = { ...edgeDocument.routes[0], name: 'open', prefix: '/open/', public: true };

/** The document of the raw tests with tenants, a public route and a model service. */
export const documentWith = (tenants: readonly DocumentTenant[], ver = 1) => ({
  ...edgeDocument,
  ver,
  routes: [...edgeDocument.routes, openRoute, modelRoute],
  svcs: [
    ...edgeDocument.svcs,
    { name: 'model', health_path: '/healthz', max_conns: 96, runtime: { cap: 8, kv_cap: 100_000 } },
  ],
  tenants,
});

/** The record of a document, as a router gets it. */
export const recordWith = (tenants: readonly DocumentTenant[], revision: number): SetupRecord => {
  const { setup } = setupOfDocument(documentWith(tenants, revision), retryLimits).unsafeCoerce();
  return { revision, takenAtUs: 0, setup, epochs: [{ sinceUs: 0, warmup: setup.warmup }] };
};
