import type { TypedError } from '../../../src/common/typed-error.js';
import { seededRandom, randomBelow, type RandomSource } from '../../../src/common/random.js';
import { openDiskRing, type DiskRing } from '../../../src/disk/disk-ring.js';
import { firstRecordOffset } from '../../../src/disk/record-format.js';
import type { RingFile } from '../../../src/disk/ring-file.js';
import { openMemoryFiles, type MemoryFiles } from '../../../src/sim/disk/memory-files.js';
import { drawnWriteFates } from '../../../src/sim/disk/write-fate.js';

/**
 * The result of a random crash test. The files of a ring are reopened after kills of the process and power failures at
 * any write or sync, several times in a row, so that a crash also hits files left by an earlier crash. The ring must
 * open and recover, in order, every acknowledged record and no record that was never appended.
 */
export type CrashImages = { readonly images: number; readonly faults: readonly string[] };

const fileBytes = 2_048;
const ringFiles = 2;
const maxOperationsPerProcess = 160;
const maxPaddingBytes = 350;
const processesPerSession = 6;
const maxReportedFaults = 5;

/** A record or a snapshot: its number, after padding of a random length. */
const encodeNumber = (chance: RandomSource, number: number): Buffer =>
  Buffer.from(`${'x'.repeat(randomBelow(chance, maxPaddingBytes))}${number}`);

const numberOf = (bytes: Buffer): number => Number(bytes.toString().replace(/^x*/, ''));

const recoveredNumbers = ({ recovered }: DiskRing): readonly number[] =>
  [...(recovered.snapshot === undefined ? [] : [recovered.snapshot]), ...recovered.records].map(numberOf);

/** When a process is killed: at an operation, or in the sync of a rotation, since few random operations are one. */
type KillPoint =
  { readonly type: 'operation'; readonly number: number } | { readonly type: 'rotation'; readonly number: number };

const randomKillPoint = (chance: RandomSource): KillPoint =>
  chance() < 0.5
    ? { type: 'operation', number: 1 + randomBelow(chance, maxOperationsPerProcess) }
    : { type: 'rotation', number: 1 + randomBelow(chance, 2) };

/** Files whose process is killed: from the kill point on, no operation has an effect. */
const filesKilledAt = (memory: MemoryFiles, killPoint: KillPoint): readonly RingFile[] => {
  let operations = 0;
  let rotations = 0;
  let rotating: RingFile | undefined;
  const isKilled = (): boolean => (killPoint.type === 'operation' ? operations : rotations) >= killPoint.number;
  const unlessKilled = <T>(operate: () => Promise<T>): Promise<T> =>
    isKilled() ? Promise.reject(new Error('the process was killed')) : operate();
  return memory.files.map((file) => ({
    ...file,
    write: (offset, bytes) => {
      operations += 1;
      if (offset === firstRecordOffset) rotating = file;
      return unlessKilled(() => file.write(offset, bytes));
    },
    sync: () => {
      operations += 1;
      if (rotating === file) rotations += 1;
      rotating = undefined;
      return unlessKilled(file.sync);
    },
  }));
};

/**
 * The first violation by the recovered records, given the last acknowledged and the last appended record; or undefined.
 */
const faultOf = (numbers: readonly number[], acknowledged: number, appended: number): string | undefined => {
  const newest = numbers.at(-1) ?? 0;
  if (newest < acknowledged)
    return `record ${acknowledged} was acknowledged, but the newest recovered record is ${newest}`;
  if (newest > appended) return `record ${newest} was recovered, but never appended`;
  return numbers.some((number, index) => index > 0 && number !== (numbers[index - 1] ?? 0) + 1)
    ? `the recovered records are not in order: ${numbers.join(' ')}`
    : undefined;
};

/** A failed opening is a fault unless the process was killed during it. */
const openingFault = ({ type, message }: TypedError): string | undefined =>
  type === 'disk-refusal' ? undefined : message.replace(/\d+/g, 'N');

/** Appends the numbers after `newest` until the process is killed; returns the one that was not acknowledged. */
const appendUntilKilled = async (ring: DiskRing, chance: RandomSource, newest: number): Promise<number> => {
  for (let number = newest + 1; ; number += 1) {
    const record = encodeNumber(chance, number);
    const result = await ring.append(record, () => encodeNumber(chance, number));
    if (result.isLeft()) return number;
  }
};

/** Runs several processes in turn on the files of one ring; each appends until it is killed at a random point. */
const playSession = async (chance: RandomSource, report: (fault: string | undefined) => void): Promise<void> => {
  let memory = openMemoryFiles(ringFiles, fileBytes);
  let acknowledged = 0;
  let appended = 0;
  for (let count = 0; count < processesPerSession; count += 1) {
    const opened = await openDiskRing(filesKilledAt(memory, randomKillPoint(chance)));
    const fault = opened.caseOf({
      Left: openingFault,
      Right: (ring) => faultOf(recoveredNumbers(ring), acknowledged, appended),
    });
    report(fault);
    if (fault !== undefined) return;
    if (opened.isRight()) {
      const ring = opened.unsafeCoerce();
      acknowledged = recoveredNumbers(ring).at(-1) ?? 0;
      appended = await appendUntilKilled(ring, chance, acknowledged);
      acknowledged = Math.max(acknowledged, appended - 1);
    }
    if (chance() < 0.7) memory = memory.afterPowerLoss(drawnWriteFates(chance));
  }
};

/** Runs `sessions` sessions with one seed; each distinct fault is reported once, with its count. */
export const playCrashImages = async (seed: number, sessions: number): Promise<CrashImages> => {
  const chance = seededRandom(seed);
  const counts = new Map<string, number>();
  let images = 0;
  for (let session = 0; session < sessions; session += 1)
    await playSession(chance, (fault) => {
      images += 1;
      if (fault !== undefined) counts.set(fault, (counts.get(fault) ?? 0) + 1);
    });
  const faults = [...counts].map(([fault, times]) => `${times} times: ${fault}`);
  return { images, faults: faults.slice(0, maxReportedFaults) };
};
