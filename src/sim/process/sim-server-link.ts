import { typedError } from '../../common/typed-error.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import { serverKeyOf } from '../../servers/list/server-key.js';
import type { ServerLink } from '../../servers/link/server-link.js';
import type { DeliveryResponse } from '../../servers/link/delivery-response.js';
import type { SimServer } from '../fleet/sim-server.js';
import { openChannel } from '../world/channel.js';
import type { Network } from '../world/network.js';
import type { World } from '../world/world.js';
import { openChunkQueue } from './chunk-queue.js';
import type { SimLife } from './sim-life.js';

const confirmUs = 1_000_000;

/** A connection to a server of the virtual world: in order both ways, lost with the server, silent through a cut. */
export const openSimServerLink = (
  address: string,
  dialed: ListedServer,
  server: SimServer,
  life: SimLife,
  world: World,
  network: Network,
): ServerLink => {
  let isOpen = true;
  const closeEars = new Set<() => void>();
  const up = openChannel(world, () => network.isCut(address, dialed.address));
  const down = openChannel(world, () => network.isCut(dialed.address, address));
  const close = (): void => {
    if (!isOpen) return;
    isOpen = false;
    server.forget(lose);
    for (const hear of [...closeEars]) hear();
    closeEars.clear();
  };
  const lose = (): void => down.send(() => life.hear(close));
  server.remember(lose);
  return {
    key: serverKeyOf(dialed),
    isOpen: () => isOpen,
    close,
    probe: () =>
      new Promise((resolve) => {
        life.clock.after(confirmUs, () => resolve(false));
        closeEars.add(() => resolve(false));
        up.send(() => {
          if (server.isUp()) server.whenLight(() => down.send(() => life.hear(() => resolve(isOpen))));
        });
      }),
    deliver: (order, signal) =>
      new Promise<DeliveryResponse>((resolve, reject) => {
        const body = openChunkQueue();
        const lost = (): void => {
          const error = new Error(typedError('link-error', 'the link was lost').message);
          reject(error);
          body.fail(error);
        };
        closeEars.add(lost);
        signal.addEventListener('abort', close, { once: true });
        const tell = (act: () => void): void =>
          down.send(() =>
            life.hear(() => {
              if (isOpen) act();
            }),
          );
        up.send(() => {
          if (!server.isUp()) return;
          server.run(order, {
            head: (status) => tell(() => resolve({ status, body: body.chunks })),
            chunk: (text) => tell(() => body.put(text)),
            end: () =>
              tell(() => {
                closeEars.delete(lost);
                body.end();
              }),
          });
        });
      }),
  };
};
