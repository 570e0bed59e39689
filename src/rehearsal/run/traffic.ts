import { monotonicNow, toMillis } from '../../common/micros.js';
import { randomItem, randomBelow, type RandomSource } from '../../common/random.js';
import type { Deployment } from '../deployment/deployment.js';
import type { KindTraffic } from '../deployment/kind-traffic.js';
import type { Callers } from '../stand-in/caller.js';
import type { Platform } from '../stand-in/platform.js';

/** The stream of calls of a rehearsal. */
export type Traffic = {
  readonly start: () => void;
  /** Stops new calls and waits for those under way. */
  readonly stop: () => Promise<void>;
  /** Draws most openings to one, until the returned call. */
  readonly crowd: (share: number) => () => void;
  readonly speed: (factor: number) => void;
};

const repeatedShare = 0.05;

const kindFor = (chance: RandomSource, kinds: readonly KindTraffic[]): KindTraffic | undefined => {
  let draw = chance() * kinds.reduce((sum, kind) => sum + kind.share, 0);
  return kinds.find((kind) => {
    draw -= kind.share;
    return draw < 0;
  });
};

/** Openings by a law of popularity: the first are asked for far more often than the last. */
const openingFor = (chance: RandomSource, kind: KindTraffic): string => {
  const place = Math.min(kind.openings - 1, Math.floor(kind.openings ** chance()) - 1 + randomBelow(chance, 2));
  return `${kind.kind} opening ${place} `.padEnd(kind.openingBytes, '.');
};

export const openTraffic = (
  deployment: Deployment,
  platform: Platform,
  callers: Callers,
  chance: RandomSource,
): Traffic => {
  const underWay = new Set<Promise<unknown>>();
  let timer: NodeJS.Timeout | undefined;
  let count = 0;
  let crowdShare = 0;
  let factor = 1;
  let isStopped = true;
  /** When the next call is due; calls that a late timer has missed are made up for. */
  let dueUs = 0;

  const send = (call: Parameters<Callers['call']>[0], times: number): void => {
    for (let time = 0; time < times; time += 1) {
      const node = randomItem(chance, platform.readyRouters());
      if (node === undefined) continue;
      const running: Promise<unknown> = callers
        .call({ ...call, call: `${call.work}.${time}` }, node)
        .finally(() => underWay.delete(running));
      underWay.add(running);
    }
  };

  const one = (): void => {
    const kind = kindFor(chance, deployment.kinds);
    if (kind === undefined) return;
    count += 1;
    const work = `w${count}`;
    const isRepeated = kind.runsOnce && chance() < repeatedShare;
    send(
      {
        work,
        call: work,
        kind: kind.kind,
        key: kind.runsOnce ? work : undefined,
        opening: kind.isModel
          ? chance() < crowdShare
            ? 'the one opening that all want '.padEnd(2000, '.')
            : openingFor(chance, kind)
          : '',
        pieces: kind.pieces,
        isModel: kind.isModel,
      },
      isRepeated ? 2 : 1,
    );
  };

  const next = (): void => {
    if (isStopped) return;
    for (
      ;
      dueUs <= monotonicNow();
      dueUs += (-Math.log(1 - chance()) * 1_000_000) / (deployment.exchangesPerSecond * factor)
    )
      one();
    timer = setTimeout(next, toMillis(dueUs - monotonicNow()));
  };

  return {
    start: () => {
      isStopped = false;
      dueUs = monotonicNow();
      next();
    },
    stop: async () => {
      isStopped = true;
      clearTimeout(timer);
      await Promise.all(underWay);
    },
    crowd: (share) => {
      crowdShare = share;
      return () => {
        crowdShare = 0;
      };
    },
    speed: (newFactor) => {
      factor = newFactor;
    },
  };
};
