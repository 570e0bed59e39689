import type { EitherAsync } from 'purify-ts';
import type { Chance } from '../../common/chance.js';
import type { Clock } from '../../common/clock/clock.js';
import type { TypedError } from '../../common/typed-error.js';
import type { DiskRing } from '../../disk/disk-ring.js';
import type { RingSizes } from '../../disk/ring-sizes.js';
import type { Dial } from '../../servers/link/dial.js';
import type { ListSource } from '../../servers/source/list-source.js';
import type { LinkOptions } from '../../spread/link/link-options.js';
import type { PeerLinks } from '../../spread/link/peer-links.js';

/**
 * All that the tasks of a process have of the world. A real process gives them sockets, the steady clock and files; the
 * simulator gives the same tasks stand-ins of these, and of nothing else.
 */
export type Surroundings = {
  readonly clock: Clock;
  readonly chance: Chance;
  /** A name that nothing else ever had. */
  readonly freshName: () => string;
  readonly openPartnerLinks: (address: string, options?: LinkOptions) => PeerLinks;
  readonly dial: Dial;
  /** Whether servers are known by the fleet's own exchanges alone, where probes are dear. */
  readonly probesNothing?: boolean;
  /** Where the platform's list is asked for; none where the platform tells it. */
  readonly listSource?: ListSource;
  readonly openRing: (folder: string, sizes: RingSizes) => EitherAsync<TypedError, DiskRing>;
};
