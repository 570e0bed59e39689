import { EventEmitter } from 'node:events';
import { createServer, type Server, type Socket } from 'node:net';
import { monotonicNow, type Micros } from '../../common/micros.js';
import type { Frame } from '../frame/frame.js';
import { readConnection } from './incoming-connection.js';
import { openInstanceFence, type FrameEnvelope } from './instance-fence.js';
import { defaultFleet, type LinkIdentity } from './link-identity.js';
import type { LinkOptions } from './link-options.js';
import { listenAt } from './listen-at.js';
import { openConnection, type OutgoingConnection } from './outgoing-connection.js';
import type { LinkEvents } from './link-events.js';
import type { PeerLinks } from './peer-links.js';
import { newInstanceId } from './wire-format.js';

/** The pause before an address is dialled again after a failure. */
const redialDelayUs: Micros = 200_000;

/**
 * Links over TCP. A process dials each peer that it sends to and reads only from connections that it accepts, so every
 * connection carries frames one way. `address` is where peers reach this process.
 */
export const openTcpLinks = (
  address: string,
  { listenAddress = address, fleet = defaultFleet }: LinkOptions = {},
): PeerLinks => {
  const events = new EventEmitter<LinkEvents>();
  const self: LinkIdentity = { address, life: newInstanceId(), fleet };
  const fence = openInstanceFence(self);
  const connections = new Map<string, OutgoingConnection>();
  const redialAfter = new Map<string, number>();
  const acceptedSockets = new Set<Socket>();
  let acceptedCount = 0;
  let isClosed = false;
  const badFrame = (): void => void events.emit('badFrame');

  /** The sender is reachable, perhaps after a restart: a response to it must not wait for the redial delay. */
  const deliver = (from: string, frame: Frame): void => {
    redialAfter.delete(from);
    events.emit('frame', from, frame);
  };

  const accept = (socket: Socket): void => {
    acceptedCount += 1;
    acceptedSockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => acceptedSockets.delete(socket));
    const receive = (envelope: FrameEnvelope, frame: Frame): void => {
      const dropCause = fence.check(envelope);
      if (dropCause === undefined) {
        deliver(envelope.sender.address, frame);
        return;
      }
      events.emit('dropped', dropCause, envelope.sender.address);
      socket.destroy();
    };
    readConnection(socket, self.life, acceptedCount, { frame: receive, badFrame });
  };
  const server: Server = createServer(accept);

  const dial = (target: string): OutgoingConnection | undefined => {
    if ((redialAfter.get(target) ?? 0) > monotonicNow()) return undefined;
    const connection = openConnection(target, self, {
      badFrame,
      closed: (isIdleClose) => {
        if (connections.get(target) === connection) connections.delete(target);
        if (isIdleClose) redialAfter.delete(target);
        else redialAfter.set(target, monotonicNow() + redialDelayUs);
      },
    });
    connections.set(target, connection);
    return connection;
  };

  const closeIdle = (nowUs: Micros): void => {
    for (const [target, connection] of connections) if (connection.closeIfIdle(nowUs)) connections.delete(target);
  };

  return {
    events,
    listen: () => listenAt(server, listenAddress),
    send: (target, frame) => {
      if (isClosed) return;
      const known = connections.get(target);
      if (known === undefined) closeIdle(monotonicNow());
      (known ?? dial(target))?.send(frame);
    },
    close: () => {
      isClosed = true;
      server.close();
      for (const socket of acceptedSockets) socket.destroy();
      for (const connection of connections.values()) connection.destroy();
    },
  };
};
