import { EventEmitter } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { steadyNow, type Micros } from '../../common/micros.js';
import type { Frame } from '../frame/frame.js';
import { readConnection } from './incoming-connection.js';
import { openLifeFence, type FrameEnvelope } from './life-fence.js';
import { defaultFleet, type LinkIdentity } from './link-identity.js';
import type { LinkOptions } from './link-options.js';
import { listenAt } from './listen-at.js';
import { openConnection, type OutgoingConnection } from './outgoing-connection.js';
import type { LinkEvents } from './link-events.js';
import type { PartnerLinks } from './partner-links.js';
import { freshLife } from './wire-format.js';

const redialUs: Micros = 200_000;

/** Links over TCP, a BSON document a frame; `address` is where partners reach this process. */
export const openTcpLinks = (
  address: string,
  { listenAddress = address, fleet = defaultFleet }: LinkOptions = {},
): PartnerLinks => {
  const events = new EventEmitter<LinkEvents>();
  const self: LinkIdentity = { address, life: freshLife(), fleet };
  const fence = openLifeFence(self);
  const connections = new Map<string, OutgoingConnection>();
  const redialAfter = new Map<string, number>();
  const inSockets = new Set<Socket>();
  let acceptedConnections = 0;
  let isClosed = false;
  const badFrame = (): void => void events.emit('badFrame');

  /** Who speaks is there: what it hears in return must not wait for the next dial, as after its restart. */
  const heard = (from: string, frame: Frame): void => {
    redialAfter.delete(from);
    events.emit('frame', from, frame);
  };

  const accept = (socket: Socket): void => {
    acceptedConnections += 1;
    inSockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => inSockets.delete(socket));
    const take = (envelope: FrameEnvelope, frame: Frame): void => {
      const dropCause = fence.check(envelope);
      if (dropCause === undefined) {
        heard(envelope.sender.address, frame);
        return;
      }
      events.emit('dropped', dropCause, envelope.sender.address);
      socket.destroy();
    };
    readConnection(socket, self.life, acceptedConnections, { frame: take, badFrame });
  };
  const server: Server = createServer(accept);

  const dial = (target: string): OutgoingConnection | undefined => {
    if ((redialAfter.get(target) ?? 0) > steadyNow()) return undefined;
    const connection = openConnection(target, self, {
      badFrame,
      closed: (isRetired) => {
        if (connections.get(target) === connection) connections.delete(target);
        if (isRetired) redialAfter.delete(target);
        else redialAfter.set(target, steadyNow() + redialUs);
      },
    });
    connections.set(target, connection);
    return connection;
  };

  const retireIdle = (nowUs: Micros): void => {
    for (const [target, connection] of connections) if (connection.retireIfIdle(nowUs)) connections.delete(target);
  };

  return {
    events,
    listen: () => listenAt(server, listenAddress),
    send: (target, frame) => {
      if (isClosed) return;
      const known = connections.get(target);
      if (known === undefined) retireIdle(steadyNow());
      (known ?? dial(target))?.send(frame);
    },
    close: () => {
      isClosed = true;
      server.close();
      for (const socket of inSockets) socket.destroy();
      for (const connection of connections.values()) connection.destroy();
    },
  };
};
