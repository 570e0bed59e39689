import { EventEmitter } from 'node:events';
import type { LinkEvents } from '../../spread/link/link-events.js';
import type { PartnerLinks } from '../../spread/link/partner-links.js';
import type { Network } from '../world/network.js';
import type { SimLife } from './sim-life.js';
import type { SimPorts } from './sim-ports.js';

/** Links between processes of the virtual world: frames may be late, out of order, lost or doubled, also across lives. */
export const openSimPartnerLinks = (
  address: string,
  life: SimLife,
  network: Network,
  ports: SimPorts,
): PartnerLinks => {
  const events = new EventEmitter<LinkEvents>();
  let isClosed = false;
  return {
    events,
    listen: () => {
      ports.set(address, (from, frame) =>
        life.hear(() => {
          if (!isClosed) events.emit('frame', from, frame);
        }),
      );
      return Promise.resolve();
    },
    send: (target, frame) => {
      if (!isClosed && !life.isOver()) network.sendFrame(address, target, () => ports.get(target)?.(address, frame));
    },
    close: () => {
      isClosed = true;
    },
  };
};
