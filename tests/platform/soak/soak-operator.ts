import { request } from 'undici';
import { randomItem, randomBelow, type RandomSource } from '../../../src/common/random.js';
import { delay } from '../../../src/common/clock/delay.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import { monotonicNow, toMillis, type Micros } from '../../../src/common/micros.js';
import { invalidDocument, soakDocument, type DocumentWish } from './soak-document.js';

/** A document that was sent, and what was said of it. */
export type PutRecord = {
  readonly version: number;
  readonly base: number;
  readonly text: string;
  readonly isInvalid: boolean;
  readonly status: number;
  readonly toldUs: Micros;
};

/** A read of the newest document. */
export type ReadRecord = {
  readonly sentUs: Micros;
  readonly status: number;
  readonly version: number;
  readonly text: string;
};

/** Operators of a soak: they change, race, repeat and read, and write down what they are told. */
export type SoakOperator = {
  readonly puts: PutRecord[];
  readonly reads: ReadRecord[];
  /** Sends a document on top of the newest one that was acknowledged, until it is decided or a bound passes. */
  readonly change: (wish: Partial<DocumentWish>, budgetUs?: Micros) => Promise<PutRecord>;
  /** Two documents of one version on the same base, at once, to different machines. */
  readonly race: () => Promise<void>;
  readonly sendInvalid: () => Promise<void>;
  /** Sends a change, hangs up before the answer, and sends the same again to another machine. */
  readonly changeWithLostAnswer: () => Promise<void>;
  readonly read: () => Promise<ReadRecord>;
};

type Told = { readonly status: number; readonly text: string };

const callUs: Micros = 1_000_000;
const pauseUs: Micros = 120_000;
const changeUs: Micros = 12_000_000;
const mostStep = 3;
const usualWish: DocumentWish = { idemService: 'gallery', idleRoutes: 2, writer: 'one' };

const isDecided = (status: number): boolean => [200, 400, 409, 412, 413, 422].includes(status);

const versionIn = (text: string): number => Number(/^\{"ver":(\d+)/.exec(text)?.[1] ?? 0);

export const openSoakOperator = (nodes: readonly string[], chance: RandomSource): SoakOperator => {
  const puts: PutRecord[] = [];
  const reads: ReadRecord[] = [];
  /** Versions are never used again, whatever came of them. */
  let lastVersion = 0;

  /** The newest version that was acknowledged or read. */
  const newest = (): number =>
    [...puts, ...reads].reduce((most, { status, version }) => (status === 200 ? Math.max(most, version) : most), 0);

  const nextVersion = (): number => {
    lastVersion += 1 + randomBelow(chance, mostStep);
    return lastVersion;
  };

  const call = async (
    node: string,
    method: 'GET' | 'PUT',
    body?: string,
    base?: number,
    span = callUs,
  ): Promise<Told> => {
    try {
      const told = await request(`http://${node}/ledgehill/config`, {
        method,
        body: body ?? null,
        headers: {
          'content-type': 'application/json',
          ...(base === undefined ? {} : { 'if-match': String(base) }),
        },
        signal: AbortSignal.timeout(toMillis(span)),
      });
      return { status: told.statusCode, text: await told.body.text() };
    } catch {
      return { status: 0, text: '' };
    }
  };

  const anyNode = (): string => randomItem(chance, nodes) ?? '';

  /** Sends the same document again and again, to any machine, until it is decided. */
  const send = async (text: string, version: number, base: number, isInvalid: boolean, budgetUs: Micros) => {
    const dueUs = monotonicNow() + budgetUs;
    let told = await call(anyNode(), 'PUT', text, base);
    while (!isDecided(told.status) && monotonicNow() < dueUs) {
      await delay(monotonicClock, pauseUs);
      told = await call(anyNode(), 'PUT', text, base);
    }
    const record: PutRecord = { version, base, text, isInvalid, status: told.status, toldUs: monotonicNow() };
    puts.push(record);
    return record;
  };

  const change: SoakOperator['change'] = (wish, budgetUs = changeUs) => {
    const base = newest();
    const version = nextVersion();
    return send(soakDocument(version, { ...usualWish, ...wish }), version, base, false, budgetUs);
  };

  return {
    puts,
    reads,
    change,
    race: async () => {
      const base = newest();
      const version = nextVersion();
      await Promise.all(
        ['left', 'right'].map((writer) =>
          send(soakDocument(version, { ...usualWish, writer }), version, base, false, changeUs),
        ),
      );
    },
    sendInvalid: async () => {
      const base = newest();
      const version = nextVersion();
      await send(invalidDocument(version), version, base, true, changeUs);
    },
    changeWithLostAnswer: async () => {
      const base = newest();
      const version = nextVersion();
      const text = soakDocument(version, { ...usualWish, writer: 'lost' });
      await call(anyNode(), 'PUT', text, base, 1_000 + randomBelow(chance, 40_000));
      await send(text, version, base, false, changeUs);
    },
    read: async () => {
      const sentUs = monotonicNow();
      const { status, text } = await call(anyNode(), 'GET');
      const record: ReadRecord = { sentUs, status, version: versionIn(text), text };
      reads.push(record);
      return record;
    },
  };
};
