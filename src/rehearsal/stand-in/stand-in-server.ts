import type { ServerFaultMode } from './server-fault-mode.js';
import type { ListedServer } from '../../servers/list/listed-server.js';

/** A back end of the rehearsal. */
export type StandInServer = {
  readonly listed: ListedServer;
  readonly coldPrefills: () => number;
  /** Ends at once, links and all, as a crash would. */
  readonly crash: () => void;
  /** Stops answering but keeps its links, until the returned call. */
  readonly goDark: () => () => void;
  /** Changes how it treats orders from now on; probes are answered all the same. */
  readonly become: (faultMode: ServerFaultMode) => void;
};
