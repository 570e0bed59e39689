import type { Micros } from '../../common/micros.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { ServerKey } from '../../servers/list/server-key.js';
import type { Warmup } from '../../setup/document/warmup.js';

/**
 * The times at which a server begins its warm-up and enters the ring (its entry moment). All nodes derive the same booking
 * from configuration and server list, so they agree on the entry moment without messages.
 */
export type Booking = {
  readonly key: ServerKey;
  readonly server: ListedServer;
  readonly sinceUs: Micros;
  readonly entryUs: Micros;
  readonly warmup: Warmup;
};
