// Beside the case: random images of the ring's two files after a loss of power. Each unsynced write is there, missing or
// torn by sectors or at a byte. Tells how many images can not be opened, and how many lack a record that was synced.
// Needs `npm run build`. Usage: node review/1/images.mjs SEED
import { openDiskRing } from '../../dist/src/disk/disk-ring.js';

const fileBytes = 2_048;
const sectorBytes = 512;
const sessions = 3_000;
let state = Number(process.argv[2] ?? 1);
const chance = () => {
  state = (state * 1_103_515_245 + 12_345) & 0x7fffffff;
  return state / 0x7fffffff;
};

const put = (image, [offset, bytes]) => {
  const fate = chance();
  if (fate < 1 / 3) bytes.copy(image, offset);
  if (fate < 2 / 3) return;
  if (chance() < 0.5) {
    bytes.subarray(0, Math.floor(chance() * bytes.length)).copy(image, offset);
    return;
  }
  for (let sector = Math.floor(offset / sectorBytes) * sectorBytes; sector < offset + bytes.length; sector += sectorBytes) {
    const from = Math.max(sector, offset);
    const to = Math.min(sector + sectorBytes, offset + bytes.length);
    if (chance() < 0.5) bytes.subarray(from - offset, to - offset).copy(image, from);
  }
};

const openFile = (index, start, look) => {
  const synced = start ?? Buffer.alloc(fileBytes);
  let unsynced = [];
  return {
    name: `file ${index}`,
    size: fileBytes,
    read: async () => Buffer.from(synced),
    write: async (offset, bytes) => {
      unsynced.push([offset, Buffer.from(bytes)]);
      look();
    },
    sync: async () => {
      look();
      for (const [offset, bytes] of unsynced) bytes.copy(synced, offset);
      unsynced = [];
    },
    close: async () => undefined,
    image: () => {
      const image = Buffer.from(synced);
      for (const write of unsynced) put(image, write);
      return image;
    },
  };
};

let images = 0;
const faults = new Map();
const count = (fault) => faults.set(fault, (faults.get(fault) ?? 0) + 1);
const encode = (value) => Buffer.from(JSON.stringify(value));

/** Opens the files, appends for a while, and opens what a loss of power may leave at some moments. */
const play = async (start, last, depth) => {
  const losses = [];
  let kept = last;
  const files = [0, 1].map((index) =>
    openFile(index, start?.[index], () => {
      if (depth > 0 && chance() < 0.05) losses.push({ files: files.map((file) => file.image()), kept });
    }),
  );
  const opened = await openDiskRing(files);
  if (opened.isLeft()) {
    count(`can not be opened: ${opened.extract().message.replace(/\d+/g, 'N')}`);
    return;
  }
  const { recovered, append } = opened.extract();
  const values = [...(recovered.snapshot === undefined ? [] : [recovered.snapshot]), ...recovered.records].map((bytes) => JSON.parse(bytes).value);
  const newest = Math.max(0, ...values);
  if (newest < last) count('lacks what was synced');
  kept = newest;
  if (depth === 0) return;
  for (let value = newest + 1; value < newest + 30; value += 1) {
    const record = () => encode({ value, pad: 'x'.repeat(Math.floor(chance() * 350)) });
    const done = await append(record(), record);
    if (done.isRight()) kept = value;
  }
  for (const loss of losses) {
    images += 1;
    await play(loss.files, loss.kept, depth - 1);
  }
};

for (let session = 0; session < sessions; session += 1) await play(undefined, 0, 2);
process.stdout.write(`${images} images\n`);
for (const [fault, times] of faults) process.stdout.write(`${times} ${fault}\n`);
