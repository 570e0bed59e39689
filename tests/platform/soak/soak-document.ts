import { places as allPlaces, standInTenant, streamRoute } from '../stand-in/documents.js';

/** The places that clients use all through a soak; every document has them. */
export const places = {
  resumed: allPlaces.resumed,
  stream: allPlaces.stream,
  idem: allPlaces.idem,
  once: allPlaces.once,
} as const;

const engine = { cap: 64, kv_cap: 489_039, llms: [{ name: 'm' }] };

const plainRoute = (name: string, host: string, prefix: string, kind: 'idem' | 'once', svc: string) => ({
  name,
  host,
  prefix,
  kind,
  timeout_ms: 3_000,
  target_ms: 300,
  prio: 2,
  svc,
  tries: kind === 'idem' ? 2 : 1,
});

/** What a document of the soak says beside its version. */
export type DocumentWish = {
  /** The service that the repeatable plain requests go to. */
  readonly idemService: 'gallery' | 'office';
  /** Routes that no client uses. */
  readonly idleRoutes: number;
  /** Names the writer, so that two documents of one version differ. */
  readonly writer: string;
};

export const soakDocument = (ver: number, { idemService, idleRoutes, writer }: DocumentWish): string =>
  JSON.stringify({
    ver,
    writer,
    routes: [
      streamRoute('resumed', 0, 2),
      streamRoute('stream', 1, 1),
      plainRoute('idem', places.idem.host, places.idem.prefix, 'idem', idemService),
      plainRoute('once', places.once.host, places.once.prefix, 'once', 'gallery'),
      ...Array.from({ length: idleRoutes }, (_, place) =>
        plainRoute(`idle-${place}`, 'idle.example', `/p${place}/`, 'idem', 'office'),
      ),
    ],
    svcs: [
      { name: 'readers', health_path: '/healthz', max_conns: 360, proto: 'h1', tls: false, runtime: engine },
      { name: 'gallery', health_path: '/healthz', max_conns: 96, proto: 'h1', tls: false },
      { name: 'office', health_path: '/healthz', max_conns: 96, proto: 'h1', tls: false },
    ],
    tenants: [standInTenant],
    limits: { hdr_bytes: 16_384, body_max_bytes: 4_194_304, hdr_ms: 3_000, idle_ms: 15_000 },
  });

/** A document that must never be taken: one of its routes names a service that it does not have. */
export const invalidDocument = (ver: number): string =>
  soakDocument(ver, { idemService: 'gallery', idleRoutes: 1, writer: 'invalid' }).replace(
    '"svc":"office"',
    '"svc":"nowhere"',
  );

/** The services that a route may go to by some document of the soak. */
export const allowedOf = (route: string): readonly string[] => {
  if (route === 'resumed' || route === 'stream') return ['readers'];
  return route === 'idem' ? ['gallery', 'office'] : ['gallery'];
};
