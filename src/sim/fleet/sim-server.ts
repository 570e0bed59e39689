import type { Micros } from '../../common/micros.js';
import { prefixOf } from '../../decision/ring/prefix.js';
import { openTroubleNotes } from '../../rehearsal/history/trouble-notes.js';
import type { OutageType } from '../../rehearsal/history/outage-type.js';
import type { History } from '../../rehearsal/history/history.js';
import type { ServerFaultMode } from '../../rehearsal/stand-in/server-fault-mode.js';
import { pieceText, readWorkText } from '../../rehearsal/stand-in/work-text.js';
import type { DeliveryRequest } from '../../servers/link/delivery-request.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { World } from '../world/world.js';
import type { SimServerListener } from './sim-server-listener.js';

/** A back end in the virtual world. */
export type SimServer = {
  readonly listed: ListedServer;
  readonly isUp: () => boolean;
  readonly isDark: () => boolean;
  readonly run: (order: DeliveryRequest, listener: SimServerListener) => void;
  /** Does something as soon as the server is not dark. */
  readonly whenLight: (act: () => void) => void;
  /** Notes a link; it is told when the server crashes. */
  readonly remember: (lose: () => void) => void;
  readonly forget: (lose: () => void) => void;
  readonly crash: () => void;
  readonly goDark: (span: Micros) => void;
  /** Changes how it treats orders from now on; probes are answered all the same. */
  readonly become: (faultMode: ServerFaultMode) => void;
};

const coldPrefillUs = 250_000;
const warmPrefillUs = 8_000;
const pieceUs = 40_000;

export const openSimServer = (world: World, history: History, listed: ListedServer): SimServer => {
  const note = (type: 'begins' | 'ends', what: OutageType): void =>
    openTroubleNotes(history, world.now).hit(type, listed.id, what);
  const rememberedOpenings = new Set<string>();
  const links = new Set<() => void>();
  const isModel = listed.service !== 'status';
  let isUp = true;
  let darkUntilUs = 0;
  let prefills = 0;
  let faultMode: ServerFaultMode = 'well';
  const whenLight = (act: () => void): void => {
    if (!isUp) return;
    if (world.now() < darkUntilUs) world.after(darkUntilUs - world.now(), () => whenLight(act));
    else act();
  };
  const spanOf = (span: Micros): Micros => (faultMode === 'slow' ? span * 20 : span) * (0.5 + world.chance());

  const stream = (work: string, pieces: number, fromPiece: number, listener: SimServerListener): void => {
    const sendFrom = (piece: number): void =>
      whenLight(() => {
        if (piece >= pieces) {
          listener.chunk(`${JSON.stringify({ end: true, pieces })}\n`);
          listener.end();
          return;
        }
        if (faultMode === 'stuck') {
          world.after(pieceUs, () => sendFrom(piece));
          return;
        }
        listener.chunk(`${JSON.stringify({ piece, text: pieceText(work, piece) })}\n`);
        world.after(spanOf(pieceUs), () => sendFrom(piece + 1));
      });
    listener.head(200);
    sendFrom(fromPiece);
  };

  return {
    listed,
    isUp: () => isUp,
    isDark: () => world.now() < darkUntilUs,
    whenLight,
    remember: (lose) => void links.add(lose),
    forget: (lose) => void links.delete(lose),
    crash: () => {
      if (!isUp) return;
      isUp = false;
      note('begins', 'down');
      for (const lose of links) lose();
      links.clear();
    },
    goDark: (span) => {
      darkUntilUs = Math.max(darkUntilUs, world.now() + Math.ceil(span));
      note('begins', 'dark');
      world.after(darkUntilUs - world.now(), () => {
        if (world.now() >= darkUntilUs) note('ends', 'dark');
      });
    },
    become: (newMode) => {
      faultMode = newMode;
      note(newMode === 'well' ? 'ends' : 'begins', 'grey');
    },
    run: (order, listener) => {
      const reachedUs = world.now();
      const { work, call, pieces } = readWorkText(order.text);
      history.tries.push({ service: listed.service, call, atUs: reachedUs });
      whenLight(() => {
        if (faultMode === 'erring') {
          listener.head(world.chance() < 0.5 ? 503 : 500);
          listener.end();
          return;
        }
        const opening = prefixOf(listed.service, order.opening);
        history.runs.push({
          server: listed.id,
          incarnation: listed.incarnation,
          ownService: listed.service,
          askedService: order.service,
          call,
          work,
          kind: order.kind,
          exchange: order.exchange,
          fromPiece: order.fromPiece,
          opening,
          atUs: reachedUs,
        });
        if (!isModel) {
          world.after(spanOf(warmPrefillUs), () =>
            whenLight(() => {
              listener.head(200);
              listener.chunk(JSON.stringify({ status: 'well', work }));
              listener.end();
            }),
          );
          return;
        }
        const cold = !rememberedOpenings.has(opening);
        if (cold) history.coldCalls.add(`${call}@${listed.id}`);
        prefills += 1;
        world.after(spanOf(cold ? coldPrefillUs * Math.min(4, prefills) : warmPrefillUs), () => {
          prefills -= 1;
          rememberedOpenings.add(opening);
          whenLight(() => stream(work, pieces, order.fromPiece, listener));
        });
      });
    },
  };
};
