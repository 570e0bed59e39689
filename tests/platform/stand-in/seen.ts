/** A request as it reached a server. */
export type ServerArrival = {
  readonly server: string;
  readonly service: string;
  readonly attempt: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly lastEventId: string | undefined;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly atUs: number;
  /** Until it has run it has not. */
  ran: boolean;
  /** Whether the server itself broke off, or never answered. */
  broken: boolean;
};

/** A try of a client, and what came of it. */
export type ClientTry = {
  readonly attempt: string;
  readonly route: string;
  readonly kind: 'idem' | 'once' | 'stream' | 'resumed';
  readonly node: string;
  readonly method: string;
  readonly target: string;
  readonly body: string;
  readonly lastEventId: number;
  /** Events that the whole stream has; 0 for a plain answer. */
  readonly events: number;
  readonly sentUs: number;
  readonly endUs: number;
  readonly status: number;
  readonly seal: string | undefined;
  readonly bytes: string;
  /** Whether the answer came to its end. */
  readonly whole: boolean;
  readonly error: string | undefined;
  /** Whether its connection ended, other than by the client, before any of the answer came. */
  readonly isCutOff?: boolean;
};

/** All that clients and servers saw. */
export type Seen = {
  readonly arrivals: ServerArrival[];
  readonly tries: ClientTry[];
};

export const openSeen = (): Seen => ({ arrivals: [], tries: [] });
