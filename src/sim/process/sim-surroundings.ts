import { EitherAsync, Left } from 'purify-ts';
import { typedError } from '../../common/typed-error.js';
import { openDiskRing } from '../../disk/disk-ring.js';
import type { RingFile } from '../../disk/ring-file.js';
import type { Surroundings } from '../../process/surroundings/surroundings.js';
import type { OutageType } from '../../rehearsal/history/outage-type.js';
import type { SimServer } from '../fleet/sim-server.js';
import { defaultFleet } from '../../spread/link/link-identity.js';
import type { Network } from '../world/network.js';
import type { World } from '../world/world.js';
import { simDialOf } from './sim-dial.js';
import type { SimLife } from './sim-life.js';
import { openSimPartnerLinks } from './sim-partner-links.js';
import type { SimPorts } from './sim-ports.js';

/** What all processes of a virtual world share. */
export type SimCommons = {
  readonly world: World;
  readonly network: Network;
  readonly ports: SimPorts;
  readonly serverAt: (address: string) => SimServer | undefined;
  /** Writes down what is done to whom. */
  readonly note: (type: 'begins' | 'ends', who: string, what: OutageType) => void;
};

/** The surroundings of one life of a process. */
export const simSurroundingsOf = (
  { world, network, ports, serverAt }: SimCommons,
  name: string,
  address: string,
  life: SimLife,
  files?: readonly RingFile[],
): Surroundings => {
  let names = 0;
  const freshPart = Math.floor(world.chance() * 2 ** 32).toString(16);
  return {
    clock: life.clock,
    chance: world.chance,
    freshName: () => {
      names += 1;
      return `${name}-${freshPart}-${names}`;
    },
    openPartnerLinks: (_address, { fleet = defaultFleet } = {}) =>
      openSimPartnerLinks({ address, life: `${name}-${freshPart}`, fleet }, life, network, ports),
    dial: simDialOf(address, life, world, network, serverAt),
    openRing: () =>
      EitherAsync.fromPromise(() =>
        files === undefined
          ? Promise.resolve(Left(typedError('disk-error', 'this process has no disk')))
          : openDiskRing(files),
      ),
  };
};
