import { Left, Right, type Either } from 'purify-ts';
import { typedError, type TypedError } from '../../common/typed-error.js';
import { verifyIdentity } from '../../servers/link/verify-identity.js';
import type { Dial } from '../../servers/link/dial.js';
import type { ServerLink } from '../../servers/link/server-link.js';
import type { SimServer } from '../fleet/sim-server.js';
import type { Network } from '../world/network.js';
import type { World } from '../world/world.js';
import type { SimLife } from './sim-life.js';
import { openSimServerLink } from './sim-server-link.js';

const dialUs = 1_000_000;

/** Dials servers of the virtual world; through a cut, or from a dark server, nothing at all comes back. */
export const simDialOf =
  (
    address: string,
    life: SimLife,
    world: World,
    network: Network,
    serverAt: (address: string) => SimServer | undefined,
  ): Dial =>
  (server) =>
    new Promise<Either<TypedError, ServerLink>>((resolve) => {
      life.clock.after(dialUs, () => resolve(Left(typedError('link-error', 'no answer in time'))));
      network.send(address, server.address, () => {
        const reached = serverAt(server.address);
        const back = (opened: () => Either<TypedError, ServerLink>): void =>
          network.send(server.address, address, () => life.hear(() => resolve(opened())));
        if (reached === undefined) {
          back(() => Left(typedError('link-refused', 'nobody listens')));
          return;
        }
        if (reached.isDark()) return;
        const identity = JSON.stringify(reached.listed);
        const link = openSimServerLink(address, server, reached, life, world, network);
        back(() =>
          verifyIdentity(server, identity).chain(() =>
            link.isOpen() ? Right(link) : Left(typedError('link-error', 'the link closed')),
          ),
        );
      });
    });
