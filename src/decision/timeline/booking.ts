import type { Micros } from '../../common/micros.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Warmup } from '../../setup/document/warmup.js';

/** A server's place on the shared time line: when its warm-up begins and when it enters the ring. */
export type Booking = {
  readonly key: ServerKey;
  readonly server: ListedServer;
  readonly sinceUs: Micros;
  readonly entryUs: Micros;
  readonly warmup: Warmup;
};
