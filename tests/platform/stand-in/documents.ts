/** The hosts and prefixes that the stand-in's clients use. */
export const places = {
  resumed: { host: 'archive.example', prefix: '/envelope/' },
  stream: { host: 'archive.example', prefix: '/nightlog/' },
  idem: { host: 'archive.example', prefix: '/thumb/' },
  once: { host: 'archive.example', prefix: '/record/' },
  added: { host: 'archive.example', prefix: '/added/' },
} as const;

const engine = { cap: 64, kv_cap: 489_039, kv_tok_bytes: 18_432, net_mbps: 180_000, pace: 7, llms: [{ name: 'm' }] };

/** A stream of the readers, which may be resumed or not. */
export const streamRoute = (name: 'resumed' | 'stream', prio: number, tries: number) => ({
  name,
  ...places[name],
  kind: 'stream',
  timeout_ms: 12_000,
  target_ms: 1_000,
  prio,
  svc: 'readers',
  tries,
  pin: true,
  resume: name === 'resumed',
  gap_target_ms: 500,
});

const plainRoute = (name: 'idem' | 'once' | 'added', kind: 'idem' | 'once', svc: string, tries: number) => ({
  name,
  ...places[name],
  kind,
  timeout_ms: 3_000,
  target_ms: 300,
  prio: 2,
  svc,
  tries,
});

/** The one tenant of the stand-in, whose key all of its clients carry. */
export const standInTenant = {
  name: 'archive',
  keys: ['stand-in-key'],
  unit: 'requests',
  rate_s: 400,
  burst: 400,
} as const;

const documentOf = (ver: number, idemService: string, hasAdded: boolean): string =>
  JSON.stringify({
    ver,
    routes: [
      streamRoute('resumed', 0, 2),
      streamRoute('stream', 1, 1),
      plainRoute('idem', 'idem', idemService, 2),
      plainRoute('once', 'once', 'gallery', 1),
      ...(hasAdded ? [plainRoute('added', 'idem', 'office', 2)] : []),
    ],
    svcs: [
      { name: 'readers', health_path: '/healthz', max_conns: 360, proto: 'h1', tls: false, runtime: engine },
      { name: 'gallery', health_path: '/healthz', max_conns: 96, proto: 'h1', tls: false },
      { name: 'office', health_path: '/healthz', max_conns: 96, proto: 'h1', tls: false },
    ],
    tenants: [standInTenant],
    limits: { hdr_bytes: 16_384, body_max_bytes: 4_194_304, hdr_ms: 3_000, idle_ms: 15_000 },
  });

/** The first document, and the one that moves a route to another service and adds one. */
export const firstDocument = documentOf(3, 'gallery', false);
export const secondDocument = documentOf(7, 'office', true);

export const allowedOf = (route: string): readonly string[] => {
  switch (route) {
    case 'resumed':
    case 'stream':
      return ['readers'];
    case 'idem':
      return ['gallery', 'office'];
    case 'once':
      return ['gallery'];
    default:
      return ['office'];
  }
};
