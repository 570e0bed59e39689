import type { TypedError } from '../../../src/common/typed-error.js';
import { seededChance, wholeBelow, type Chance } from '../../../src/common/chance.js';
import { openDiskRing, type DiskRing } from '../../../src/disk/disk-ring.js';
import { firstRecordOffset } from '../../../src/disk/record-format.js';
import type { RingFile } from '../../../src/disk/ring-file.js';
import { openMemoryFiles, type MemoryFiles } from '../../../src/sim/disk/memory-files.js';
import { drawnWriteFates } from '../../../src/sim/disk/write-fate.js';

/**
 * Opens what is left of a ring's files after its process was killed or its machine lost power, at any write or sync, again
 * and again: the second fault hits files that the first one has left. A ring must open, give back every record that was
 * acknowledged in order, and nothing that was never asked for.
 */
export type CrashImages = { readonly images: number; readonly faults: readonly string[] };

const fileBytes = 2_048;
const ringFiles = 2;
const mostOperationsPerLife = 160;
const mostPaddingBytes = 350;
const livesPerSession = 6;
const faultsNamed = 5;

/** A record or a snapshot: its number, after padding of any length. */
const encodeNumber = (chance: Chance, number: number): Buffer =>
  Buffer.from(`${'x'.repeat(wholeBelow(chance, mostPaddingBytes))}${number}`);

const numberOf = (bytes: Buffer): number => Number(bytes.toString().replace(/^x*/, ''));

const recoveredNumbers = ({ recovered }: DiskRing): readonly number[] =>
  [...(recovered.snapshot === undefined ? [] : [recovered.snapshot]), ...recovered.records].map(numberOf);

/** When a process ends: at an operation, or in the sync of a rotation, which few operations are. */
type LifeEnd =
  { readonly type: 'operation'; readonly number: number } | { readonly type: 'rotation'; readonly number: number };

const drawnEnd = (chance: Chance): LifeEnd =>
  chance() < 0.5
    ? { type: 'operation', number: 1 + wholeBelow(chance, mostOperationsPerLife) }
    : { type: 'rotation', number: 1 + wholeBelow(chance, 2) };

/** The process ends in the middle of what it does: from a certain operation on, none has an effect. */
const filesUntil = (memory: MemoryFiles, end: LifeEnd): readonly RingFile[] => {
  let operations = 0;
  let rotations = 0;
  let rotating: RingFile | undefined;
  const isOver = (): boolean => (end.type === 'operation' ? operations : rotations) >= end.number;
  const orEnded = <T>(operate: () => Promise<T>): Promise<T> =>
    isOver() ? Promise.reject(new Error('the process has ended')) : operate();
  return memory.files.map((file) => ({
    ...file,
    write: (offset, bytes) => {
      operations += 1;
      if (offset === firstRecordOffset) rotating = file;
      return orEnded(() => file.write(offset, bytes));
    },
    sync: () => {
      operations += 1;
      if (rotating === file) rotations += 1;
      rotating = undefined;
      return orEnded(file.sync);
    },
  }));
};

/** How the records that came back differ from those that were acknowledged, and from those asked for. */
const faultOf = (numbers: readonly number[], acknowledged: number, asked: number): string | undefined => {
  const newest = numbers.at(-1) ?? 0;
  if (newest < acknowledged) return `record ${acknowledged} was acknowledged, ${newest} is the newest that came back`;
  if (newest > asked) return `record ${newest} came back, which was never asked for`;
  return numbers.some((number, place) => place > 0 && number !== (numbers[place - 1] ?? 0) + 1)
    ? `the records that came back are not in order: ${numbers.join(' ')}`
    : undefined;
};

/** A ring whose process ended while it opened is no fault. */
const openingFault = ({ type, message }: TypedError): string | undefined =>
  type === 'disk-refusal' ? undefined : message.replace(/\d+/g, 'N');

/** Appends numbers behind the newest one until the process ends; gives the one that was not acknowledged. */
const appendUntilEnded = async (ring: DiskRing, chance: Chance, newest: number): Promise<number> => {
  for (let number = newest + 1; ; number += 1) {
    const record = encodeNumber(chance, number);
    const kept = await ring.append(record, () => encodeNumber(chance, number));
    if (kept.isLeft()) return number;
  }
};

/** The lives of one ring's process: each appends for a while and ends at a random operation. */
const playSession = async (chance: Chance, meet: (fault: string | undefined) => void): Promise<void> => {
  let memory = openMemoryFiles(ringFiles, fileBytes);
  let acknowledged = 0;
  let asked = 0;
  for (let life = 0; life < livesPerSession; life += 1) {
    const opened = await openDiskRing(filesUntil(memory, drawnEnd(chance)));
    const fault = opened.caseOf({
      Left: openingFault,
      Right: (ring) => faultOf(recoveredNumbers(ring), acknowledged, asked),
    });
    meet(fault);
    if (fault !== undefined) return;
    if (opened.isRight()) {
      const ring = opened.unsafeCoerce();
      acknowledged = recoveredNumbers(ring).at(-1) ?? 0;
      asked = await appendUntilEnded(ring, chance, acknowledged);
      acknowledged = Math.max(acknowledged, asked - 1);
    }
    if (chance() < 0.7) memory = memory.afterPowerLoss(drawnWriteFates(chance));
  }
};

/** Plays so many sessions with one seed; the faults are named with how often they came. */
export const playCrashImages = async (seed: number, sessions: number): Promise<CrashImages> => {
  const chance = seededChance(seed);
  const counts = new Map<string, number>();
  let images = 0;
  for (let session = 0; session < sessions; session += 1)
    await playSession(chance, (fault) => {
      images += 1;
      if (fault !== undefined) counts.set(fault, (counts.get(fault) ?? 0) + 1);
    });
  const faults = [...counts].map(([fault, times]) => `${times} times: ${fault}`);
  return { images, faults: faults.slice(0, faultsNamed) };
};
