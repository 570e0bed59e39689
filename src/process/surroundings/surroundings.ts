import type { EitherAsync } from 'purify-ts';
import type { RandomSource } from '../../common/random.js';
import type { Clock } from '../../common/clock/clock.js';
import type { TypedError } from '../../common/typed-error.js';
import type { DiskRing } from '../../disk/disk-ring.js';
import type { RingSizes } from '../../disk/ring-sizes.js';
import type { Dial } from '../../servers/link/dial.js';
import type { ListSource } from '../../servers/source/list-source.js';
import type { LinkOptions } from '../../spread/link/link-options.js';
import type { PeerLinks } from '../../spread/link/peer-links.js';

/**
 * The external dependencies of the tasks of a process: clock, randomness, network and disk. A real process passes sockets,
 * the monotonic clock and files; the simulator runs the same tasks on simulated ones. Tasks use no other.
 */
export type Surroundings = {
  readonly clock: Clock;
  readonly chance: RandomSource;
  /** Returns a globally unique name. */
  readonly freshName: () => string;
  readonly openPartnerLinks: (address: string, options?: LinkOptions) => PeerLinks;
  readonly dial: Dial;
  /** Whether server health is judged by the fleet's own exchanges alone, since probes are expensive. */
  readonly probesNothing?: boolean;
  /** Where the server list is polled; undefined if the platform pushes it. */
  readonly listSource?: ListSource;
  readonly openRing: (folder: string, sizes: RingSizes) => EitherAsync<TypedError, DiskRing>;
};
