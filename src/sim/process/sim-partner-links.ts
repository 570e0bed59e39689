import { EventEmitter } from 'node:events';
import { openInstanceFence, type FrameEnvelope } from '../../spread/link/instance-fence.js';
import type { LinkEvents } from '../../spread/link/link-events.js';
import type { LinkIdentity } from '../../spread/link/link-identity.js';
import type { PeerLinks } from '../../spread/link/peer-links.js';
import type { Network } from '../world/network.js';
import type { SimLife } from './sim-life.js';
import type { SimPorts } from './sim-ports.js';

/** The life of nobody, for frames to an address where nobody has listened yet. */
const noLife = '';

/** The connection to a life of a receiver, by its number among those that the receiver has accepted. */
type SimConnection = Omit<FrameEnvelope, 'sender'>;

/** Links between processes of the virtual world: frames may be late, out of order, lost or doubled, also across lives. */
export const openSimPartnerLinks = (
  self: LinkIdentity,
  life: SimLife,
  network: Network,
  ports: SimPorts,
): PeerLinks => {
  const events = new EventEmitter<LinkEvents>();
  const fence = openInstanceFence(self);
  const connections = new Map<string, SimConnection>();
  let isClosed = false;

  /** The connection that stands, or a new one to whoever listens there now. */
  const connectionTo = (target: string): SimConnection => {
    const endpoint = network.endpoints.get(target);
    const known = connections.get(target);
    if (known !== undefined && known.receiverLife === endpoint?.life) return known;
    if (endpoint === undefined) return { receiverLife: noLife, connection: 0 };
    endpoint.acceptedConnections += 1;
    const connection = { receiverLife: endpoint.life, connection: endpoint.acceptedConnections };
    connections.set(target, connection);
    return connection;
  };

  return {
    events,
    listen: () => {
      network.endpoints.set(self.address, { life: self.life, acceptedConnections: 0 });
      ports.set(self.address, (from, frame, envelope) =>
        life.hear(() => {
          if (isClosed) return;
          const dropCause = envelope === undefined ? undefined : fence.check(envelope);
          if (dropCause === undefined) events.emit('frame', from, frame);
          else events.emit('dropped', dropCause, from);
        }),
      );
      return Promise.resolve();
    },
    send: (target, frame) => {
      if (isClosed || life.isOver()) return;
      const envelope: FrameEnvelope = { sender: self, ...connectionTo(target) };
      network.sendFrame(self.address, target, () => ports.get(target)?.(self.address, frame, envelope));
    },
    close: () => {
      isClosed = true;
    },
  };
};
