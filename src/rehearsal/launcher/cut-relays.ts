import { createConnection, createServer, type Server, type Socket } from 'node:net';
import type { CutListener } from '../history/cut-listener.js';
import { addressParts } from '../../spread/link/address-parts.js';
import { documentAt, readIntroduction } from '../../spread/link/wire-format.js';

const unknownSpeaker = 'unknown';

/** Relays in front of every node's partner address, so that links can be cut each way for itself. */
export type CutRelays = {
  readonly open: (address: string, target: string) => Promise<void>;
  readonly cut: (from: readonly string[], to: readonly string[], oneWay?: boolean) => void;
  readonly heal: () => void;
  readonly close: () => void;
};

/** Who speaks on a connection, from its introduction; none while that is not whole yet. */
const speakerIn = (bytes: Buffer): string | undefined =>
  documentAt(bytes, 0).caseOf({
    Left: () => unknownSpeaker,
    Right: (document) =>
      document === undefined
        ? undefined
        : readIntroduction(document)
            .map((introduction) => introduction.address)
            .orDefault(unknownSpeaker),
  });

/** `listener` hears what is cut from whom, and when all is healed. */
export const openCutRelays = (listener: CutListener): CutRelays => {
  const cuts = new Set<string>();
  const servers: Server[] = [];
  const sockets = new Set<Socket>();
  const flushes = new Set<() => void>();

  const relay = (inbound: Socket, address: string, target: string): void => {
    const { host, port } = addressParts(target);
    const outbound = createConnection({ host, port });
    let speaker: string | undefined;
    let waiting: Buffer = Buffer.alloc(0);
    const flush = (): void => {
      speaker ??= speakerIn(waiting);
      if (speaker === undefined || cuts.has(`${speaker}>${address}`) || waiting.length === 0) return;
      outbound.write(waiting);
      waiting = Buffer.alloc(0);
    };
    const end = (): void => {
      flushes.delete(flush);
      sockets.delete(inbound);
      sockets.delete(outbound);
      inbound.destroy();
      outbound.destroy();
    };
    sockets.add(inbound);
    sockets.add(outbound);
    flushes.add(flush);
    inbound.on('data', (chunk: Buffer) => {
      waiting = Buffer.concat([waiting, chunk]);
      flush();
    });
    /** The greeting passes before anybody has spoken; signs of life pass unless the way back is cut. */
    outbound.on('data', (chunk: Buffer) => {
      if (speaker === undefined || !cuts.has(`${address}>${speaker}`)) inbound.write(chunk);
    });
    for (const socket of [inbound, outbound]) {
      socket.on('error', end);
      socket.on('close', end);
    }
  };

  return {
    open: (address, target) =>
      new Promise((resolve, reject) => {
        const server = createServer((inbound) => relay(inbound, address, target));
        const { host, port } = addressParts(address);
        servers.push(server);
        server.once('error', reject);
        server.listen(port, host, resolve);
      }),
    cut: (from, to, oneWay = false) => {
      const cutWay = (speaker: string, hearer: string): void => {
        cuts.add(`${speaker}>${hearer}`);
        listener.cut(speaker, hearer);
      };
      for (const left of from)
        for (const right of to) {
          cutWay(left, right);
          if (!oneWay) cutWay(right, left);
        }
    },
    heal: () => {
      cuts.clear();
      listener.heal();
      for (const flush of flushes) flush();
    },
    close: () => {
      for (const server of servers) server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
};
