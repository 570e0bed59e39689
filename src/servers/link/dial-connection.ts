import { Left, Right, type Either } from 'purify-ts';
import { monotonicClock } from '../../common/clock/monotonic-clock.js';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import { addressParts } from '../../spread/link/address-parts.js';
import { openServerConnection, type ServerConnection } from './server-connection.js';

/** Opens a TCP connection within a timeout. Left `link-refused` if the peer refused it, `link-error` on any other failure. */
export const dialConnection = (address: string, timeoutUs: Micros): Promise<Either<TypedError, ServerConnection>> =>
  new Promise((resolve) => {
    const { host, port } = addressParts(address);
    const connection = openServerConnection(host, port);
    const { socket } = connection;
    const fail = (error: Error): void => {
      cancelTimer();
      const type = error.message.includes('ECONNREFUSED') ? 'link-refused' : 'link-error';
      resolve(Left(typedError(type, error.message)));
    };
    const cancelTimer = monotonicClock.after(timeoutUs, () => {
      socket.destroy();
      resolve(Left(typedError('link-error', 'TCP connect timed out')));
    });
    socket.once('error', fail);
    socket.once('connect', () => {
      cancelTimer();
      socket.off('error', fail);
      resolve(Right(connection));
    });
  });
