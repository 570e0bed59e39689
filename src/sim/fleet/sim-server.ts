import type { Micros } from '../../common/micros.js';
import { prefixOf } from '../../decision/ring/prefix.js';
import type { History } from '../../rehearsal/history/history.js';
import { pieceText } from '../../rehearsal/stand-in/work-text.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { World } from '../world/world.js';

/** What a router asks of a server. */
export type SimDelivery = {
  readonly exchange: string;
  readonly service: string;
  readonly kind: string;
  readonly opening: string;
  readonly work: string;
  readonly call: string;
  readonly pieces: number;
  readonly fromPiece: number;
};

/** What a server sends back, in order. */
export type SimLine = { readonly type: 'piece'; readonly piece: number; readonly text: string } | { readonly type: 'end'; readonly pieces: number };

/** A back end in the virtual world. */
export type SimServer = {
  readonly listed: ListedServer;
  readonly isUp: () => boolean;
  readonly isDark: () => boolean;
  readonly run: (delivery: SimDelivery, send: (line: SimLine) => void) => void;
  readonly crash: () => void;
  readonly goDark: (span: Micros) => void;
};

const coldPrefillUs = 250_000;
const warmPrefillUs = 8_000;
const pieceUs = 40_000;

export const openSimServer = (world: World, history: History, listed: ListedServer): SimServer => {
  const rememberedOpenings = new Set<string>();
  let isUp = true;
  let darkUntilUs = 0;
  let prefills = 0;
  const afterDark = (act: () => void): void => {
    if (!isUp) return;
    if (world.now() < darkUntilUs) world.after(darkUntilUs - world.now(), () => afterDark(act));
    else act();
  };
  return {
    listed,
    isUp: () => isUp,
    isDark: () => world.now() < darkUntilUs,
    crash: () => {
      isUp = false;
    },
    goDark: (span) => {
      darkUntilUs = Math.max(darkUntilUs, world.now() + Math.ceil(span));
    },
    run: (delivery, send) => {
      const reachedUs = world.now();
      afterDark(() => {
        const opening = prefixOf(listed.service, delivery.opening);
        history.runs.push({
          server: listed.id,
          incarnation: listed.incarnation,
          ownService: listed.service,
          askedService: delivery.service,
          call: delivery.call,
          work: delivery.work,
          kind: delivery.kind,
          exchange: delivery.exchange,
          fromPiece: delivery.fromPiece,
          opening,
          atUs: reachedUs,
        });
        const cold = delivery.pieces > 0 && !rememberedOpenings.has(opening);
        if (cold) history.coldCalls.add(`${delivery.call}@${listed.id}`);
        prefills += 1;
        const sendFrom = (piece: number): void =>
          afterDark(() => {
            if (piece >= delivery.pieces) {
              send({ type: 'end', pieces: delivery.pieces });
              return;
            }
            send({ type: 'piece', piece, text: pieceText(delivery.work, piece) });
            world.after(pieceUs * (0.5 + world.chance()), () => sendFrom(piece + 1));
          });
        world.after((cold ? coldPrefillUs * Math.min(4, prefills) : warmPrefillUs) * (0.7 + world.chance() * 0.6), () => {
          prefills -= 1;
          rememberedOpenings.add(opening);
          sendFrom(delivery.fromPiece);
        });
      });
    },
  };
};
