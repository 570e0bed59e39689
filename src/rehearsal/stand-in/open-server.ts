import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { delay } from '../../common/clock/delay.js';
import { monotonicClock } from '../../common/clock/monotonic-clock.js';
import { monotonicNow, type Micros } from '../../common/micros.js';
import { prefixOf } from '../../decision/ring/prefix.js';
import { reply } from '../../process/http/reply.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import { addressParts } from '../../spread/link/address-parts.js';
import { openTroubleNotes } from '../history/trouble-notes.js';
import type { History } from '../history/history.js';
import type { OutageType } from '../history/outage-type.js';
import type { RunRecord } from '../history/run-record.js';
import { readExchange, type ServerExchange } from './read-exchange.js';
import type { ServerFaultMode } from './server-fault-mode.js';
import type { StandInServer } from './stand-in-server.js';
import { pieceText, readWorkText } from './work-text.js';

/** How a stand-in model server behaves. */
export type ServerFigures = {
  readonly keptOpenings: number;
  readonly prefillUsPerByte: number;
  /** Prefills that run at once; each slows the others down. */
  readonly prefillsAtOnce: number;
  readonly warmPrefillUs: Micros;
  readonly pieceUs: Micros;
  readonly mostRuns: number;
};

export const usualFigures: ServerFigures = {
  keptOpenings: 200,
  prefillUsPerByte: 60,
  prefillsAtOnce: 8,
  warmPrefillUs: 6_000,
  pieceUs: 20_000,
  mostRuns: 64,
};

const pause = (spanUs: Micros): Promise<void> => delay(monotonicClock, spanUs);

/** Starts a back end. A model prefills one opening at a time and remembers the newest; a web server answers plainly. */
export const openStandInServer = async (
  listed: ListedServer,
  type: 'model' | 'web',
  history: History,
  figures: ServerFigures,
): Promise<StandInServer> => {
  const rememberedOpenings = new Map<string, true>();
  let coldPrefills = 0;
  let runs = 0;
  let prefills = 0;
  let waitingPrefills: (() => void)[] = [];
  let light: Promise<void> = Promise.resolve();
  let faultMode: ServerFaultMode = 'well';
  const tell = (type: 'begins' | 'ends', what: OutageType): void =>
    openTroubleNotes(history, monotonicNow).hit(type, listed.id, what);

  const prefill = async (opening: string): Promise<boolean> => {
    const prefix = prefixOf(listed.service, opening);
    if (prefills >= figures.prefillsAtOnce) await new Promise<void>((resolve) => waitingPrefills.push(resolve));
    prefills += 1;
    const cold = !rememberedOpenings.has(prefix);
    if (cold) coldPrefills += 1;
    await pause(cold ? opening.length * figures.prefillUsPerByte * prefills : figures.warmPrefillUs);
    rememberedOpenings.delete(prefix);
    const oldestPrefix =
      rememberedOpenings.size >= figures.keptOpenings ? rememberedOpenings.keys().next().value : undefined;
    if (oldestPrefix !== undefined) rememberedOpenings.delete(oldestPrefix);
    rememberedOpenings.set(prefix, true);
    prefills -= 1;
    const [nextPrefill, ...laterPrefills] = waitingPrefills;
    waitingPrefills = laterPrefills;
    nextPrefill?.();
    return cold;
  };

  const note = (exchange: ServerExchange): RunRecord => {
    const { work, call } = readWorkText(exchange.text);
    const run: RunRecord = {
      server: listed.id,
      incarnation: listed.incarnation,
      ownService: listed.service,
      askedService: exchange.service,
      call,
      work,
      kind: exchange.kind,
      exchange: exchange.exchange,
      fromPiece: exchange.fromPiece,
      opening: prefixOf(listed.service, exchange.opening),
      atUs: monotonicNow(),
    };
    history.runs.push(run);
    return run;
  };

  const runModel = async (exchange: ServerExchange, response: ServerResponse): Promise<void> => {
    const { work, pieces } = readWorkText(exchange.text);
    const run = note(exchange);
    if (await prefill(exchange.opening)) history.coldCalls.add(`${run.call}@${run.server}`);
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    for (let piece = exchange.fromPiece; piece < pieces && !response.destroyed; piece += 1) {
      await light;
      while (faultMode === 'stuck' && !response.destroyed) await pause(figures.pieceUs);
      response.write(`${JSON.stringify({ piece, text: pieceText(work, piece) })}\n`);
      await pause(faultMode === 'slow' ? figures.pieceUs * 20 : figures.pieceUs);
    }
    response.end(`${JSON.stringify({ end: true, pieces })}\n`);
  };

  const handle = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    await light;
    if (message.url === '/identity') {
      reply(response, 200, { id: listed.id, incarnation: listed.incarnation, service: listed.service });
      return;
    }
    const exchange = await readExchange(message);
    if (exchange === undefined) {
      reply(response, 400, { error: 'bad exchange' });
      return;
    }
    history.tries.push({ service: listed.service, call: readWorkText(exchange.text).call, atUs: monotonicNow() });
    if (faultMode === 'erring') {
      reply(response, 503, { error: 'erring' });
      return;
    }
    if (runs >= figures.mostRuns) {
      reply(response, 503, { error: 'full' });
      return;
    }
    runs += 1;
    try {
      if (type === 'model') await runModel(exchange, response);
      else {
        note(exchange);
        await pause(5_000);
        reply(response, 200, { status: 'well', work: readWorkText(exchange.text).work });
      }
    } finally {
      runs -= 1;
    }
  };

  const server = createServer({ keepAliveTimeout: 600_000 }, (message, response) => void handle(message, response));
  const { host, port } = addressParts(listed.address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  history.servers.push({ server: listed.id, service: listed.service, openedUs: monotonicNow() });
  tell('ends', 'down');
  return {
    listed,
    coldPrefills: () => coldPrefills,
    crash: () => {
      tell('begins', 'down');
      server.close();
      server.closeAllConnections();
    },
    become: (newMode) => {
      faultMode = newMode;
      tell(newMode === 'well' ? 'ends' : 'begins', 'grey');
    },
    goDark: () => {
      let wake: () => void = () => undefined;
      light = new Promise((resolve) => {
        wake = resolve;
      });
      tell('begins', 'dark');
      return () => {
        tell('ends', 'dark');
        wake();
      };
    },
  };
};
