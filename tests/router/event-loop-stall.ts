import { createServer } from 'node:net';
import { monotonicNow, type Micros } from '../../src/common/micros.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';

export const stallUs: Micros = 900_000;

/**
 * Calls `begin` and then blocks the event loop for `stallUs`, as happens on an overloaded machine. The stall starts in the check
 * phase (`setImmediate`), so that the timers that expire meanwhile run before the sockets are read.
 */
export const beginThenStall = <T>(begin: () => T): Promise<{ readonly begun: T }> =>
  new Promise((resolve) => {
    setImmediate(() => {
      const begun = begin();
      const dueUs = monotonicNow() + stallUs;
      while (monotonicNow() < dueUs);
      resolve({ begun });
    });
  });

/** Calls `use` with the port of a listener on the loopback interface, and closes the listener afterwards. */
export const withListener = async (use: (port: number) => Promise<void>): Promise<void> => {
  const [port = 0] = await freePorts(1);
  const server = createServer((socket) => socket.on('error', () => undefined));
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  await use(port).finally(() => server.close());
};
