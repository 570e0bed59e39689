import { createServer } from 'node:net';
import { steadyNow, type Micros } from '../../src/common/micros.js';
import { freePorts } from '../../src/rehearsal/launcher/free-ports.js';

export const stallUs: Micros = 900_000;

/**
 * Begins something and keeps the process from reading anything for a while, as a machine with too little processor time
 * does. It happens at the end of a turn of the event loop, so that the timers that fall due meanwhile are looked at before
 * the sockets.
 */
export const begunBeforeStall = <T>(begin: () => T): Promise<{ readonly begun: T }> =>
  new Promise((resolve) => {
    setImmediate(() => {
      const begun = begin();
      const dueUs = steadyNow() + stallUs;
      while (steadyNow() < dueUs);
      resolve({ begun });
    });
  });

/** Lets a listener on loopback stand while something is done with its port. */
export const withListener = async (use: (port: number) => Promise<void>): Promise<void> => {
  const [port = 0] = await freePorts(1);
  const server = createServer((socket) => socket.on('error', () => undefined));
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  await use(port).finally(() => server.close());
};
