import { randomItem, randomBelow } from '../../common/random.js';
import type { CallEnd } from '../../rehearsal/history/call-record.js';
import type { Call } from '../../rehearsal/stand-in/caller.js';
import { toRetryAfterSeconds } from '../../common/micros.js';
import { writeWorkText } from '../../rehearsal/stand-in/work-text.js';
import { parseStreamLine } from '../../router/delivery/stream-line.js';
import type { SimFleet } from './sim-fleet.js';
import { usualKinds, type SimKind } from './sim-kinds.js';
import type { SimCaller, SimRouter } from './sim-router.js';

/** Callers of a virtual fleet. */
export type SimCallers = {
  readonly start: () => void;
  readonly stop: () => void;
  readonly speed: (factor: number) => void;
  readonly crowd: (share: number) => void;
  /** The calls that have not ended yet, as call@router since when. */
  readonly underWay: () => readonly string[];
};

const repeatedShare = 0.15;

/** What a caller wants. */
export type CallerWish = Omit<Call, 'isModel'>;

/** One call to a router; its end is written down. `ended` hears of it. */
export const openCaller = (
  { world, history }: Pick<SimFleet, 'world' | 'history'>,
  wish: CallerWish,
  router: SimRouter,
  ended: () => void = () => undefined,
): void => {
  const { work, call, kind, key, pieces: wanted } = wish;
  const startUs = world.now();
  const pieces: string[] = [];
  let firstPieceUs: number | undefined;
  let isEnded = false;
  const hearEnd = (end: CallEnd, error: string | undefined, retryAfter: string | undefined): void => {
    if (isEnded) return;
    isEnded = true;
    ended();
    history.calls.push({
      work,
      call,
      kind,
      key,
      node: router.name,
      exchange: undefined,
      startUs,
      firstPieceUs,
      endUs: world.now(),
      end,
      status: 0,
      pieces,
      wanted,
      retryAfter,
      error,
    });
  };
  const caller: SimCaller = {
    isEnded: () => isEnded,
    isGone: () => isEnded,
    onGone: () => undefined,
    piece: (_exchange, text) => {
      const line = parseStreamLine(text.trimEnd());
      if (isEnded || line?.type !== 'piece') return Promise.resolve(false);
      firstPieceUs ??= world.now();
      pieces.push(line.text);
      return Promise.resolve(true);
    },
    end: (_exchange, count) =>
      hearEnd(count === pieces.length && count === wanted ? 'complete' : 'malformed', undefined, undefined),
    receipt: (_exchange, text) => hearEnd(text.includes(`"${work}"`) ? 'complete' : 'malformed', undefined, undefined),
    refuse: (error, _exchange, retryAfterUs) =>
      hearEnd(
        'refused',
        error.type,
        retryAfterUs === undefined ? undefined : String(toRetryAfterSeconds(retryAfterUs)),
      ),
    unknown: (error) => hearEnd(error.type === 'repeated-key' ? 'repeated' : 'unknown', error.type, undefined),
    breakOff: () => hearEnd('cut', 'broken off', undefined),
    lose: () => hearEnd(pieces.length > 0 ? 'cut' : 'lost', 'node gone', undefined),
  };
  const body = { kind, opening: wish.opening, text: writeWorkText({ work, call, pieces: wanted }) };
  world.after(200 + world.chance() * 1_000, () => router.accept(body, key, caller));
};

export const openSimCallers = (
  fleet: SimFleet,
  callsPerSecond: number,
  kinds: readonly SimKind[] = usualKinds,
): SimCallers => {
  const { world, platform } = fleet;
  let count = 0;
  let factor = 1;
  let crowdShare = 0;
  let isOn = false;
  const underWay = new Set<string>();

  const call = (work: string, name: string, kind: SimKind, opening: string): void => {
    const router = randomItem(world.chance, platform.readyRouters());
    if (router === undefined) return;
    const running = `${name}@${router.name} since ${world.now()} us`;
    underWay.add(running);
    openCaller(
      fleet,
      { work, call: name, kind: kind.kind, key: kind.once ? work : undefined, opening, pieces: kind.pieces },
      router,
      () => underWay.delete(running),
    );
  };

  const one = (): void => {
    let draw = world.chance();
    const kind =
      kinds.find((known) => {
        draw -= known.share;
        return draw < 0;
      }) ?? usualKinds[0];
    if (kind === undefined) return;
    count += 1;
    const work = `w${count}`;
    const place = Math.floor(kind.openings ** world.chance());
    const opening = kind.openings > 0 && world.chance() < crowdShare ? 'the one' : `${kind.kind} ${place}`;
    const times = kind.once && world.chance() < repeatedShare ? 2 + randomBelow(world.chance, 2) : 1;
    for (let time = 0; time < times; time += 1) call(work, `${work}.${time}`, kind, opening);
  };

  const next = (): void => {
    if (!isOn) return;
    one();
    world.after((-Math.log(1 - world.chance()) * 1_000_000) / (callsPerSecond * factor), next);
  };

  return {
    start: () => {
      isOn = true;
      next();
    },
    stop: () => {
      isOn = false;
    },
    speed: (newFactor) => {
      factor = newFactor;
    },
    crowd: (share) => {
      crowdShare = share;
    },
    underWay: () => [...underWay],
  };
};
