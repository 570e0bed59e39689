import { createConnection, type Socket } from 'node:net';

/**
 * A TCP connection to a server, read one chunk at a time, for an HTTP client library. It distinguishes an orderly end (FIN
 * after all data) from a reset, an error or a local close. HTTP libraries treat all of these as the end of a response that
 * is delimited by the close of its connection.
 */
export type ServerConnection = {
  /** The socket for the library. The library's listeners run after those of the connection. */
  readonly socket: Socket;
  /** Stops passing bytes to the library. At most one more chunk is read, and buffered until `resume`. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Whether the connection ended other than by an orderly end. */
  readonly isBroken: () => boolean;
};

const chunkBytes = 65_536;
/** Shared by all connections: each chunk is copied out of it synchronously in the read callback. */
const chunkBuffer = Buffer.allocUnsafe(chunkBytes);

/**
 * Opens a connection. After each chunk it stops reading until the next turn of the event loop, so that a reset that arrives
 * together with data is read separately and reported as an error. On a socket that keeps reading, libuv reports a hang-up
 * after a short read as an orderly end and never reports the error.
 */
export const openServerConnection = (host: string, port: number): ServerConnection => {
  let isPaused = false;
  let hasEnded = false;
  let hasFailed = false;
  let chunks: Buffer[] = [];
  const flush = (): void => {
    if (isPaused) return;
    for (const chunk of chunks) socket.push(chunk);
    chunks = [];
  };
  const socket = createConnection({
    host,
    port,
    noDelay: true,
    onread: {
      buffer: chunkBuffer,
      callback: (count, buffer) => {
        chunks.push(Buffer.from(buffer.subarray(0, count)));
        setImmediate(flush);
        return false;
      },
    },
  });
  socket.once('end', () => {
    hasEnded = true;
  });
  socket.on('error', () => {
    hasFailed = true;
  });
  return {
    socket,
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      setImmediate(flush);
    },
    isBroken: () => hasFailed || (socket.destroyed && !hasEnded),
  };
};
