// Looks at the ring files all the time, in a thread of its own. A machine loses power at the moment at which it has
// begun to write the snapshot of its next file and has not synced it: the mark that follows a sync is not there yet.
import { readSync } from 'node:fs';
import { parentPort, workerData } from 'node:worker_threads';

const { disks, strikes } = workerData;
const markOffsets = [64, 128];
const recordOffset = 192;
const bytes = Buffer.alloc(recordOffset + 16);

const stateOf = ({ fd, generation }) => {
  readSync(fd, bytes, 0, bytes.length, 0);
  const next = bytes.readUInt32LE(4);
  const marked = Math.max(...markOffsets.map((offset) => bytes.readUInt32LE(offset + 4)));
  if (next <= generation) return 'before';
  if (marked >= next) return 'synced';
  return generation > 0 && bytes.readUInt32LE(recordOffset + 4) === next ? 'unsynced' : 'before';
};

for (let isOver = false; !isOver; ) {
  let turned = 0;
  for (const [index, { pid, files }] of disks.entries()) {
    const states = files.map(stateOf);
    if (states.includes('synced')) turned += 1;
    if (!strikes || !states.includes('unsynced')) continue;
    process.kill(pid, 'SIGKILL');
    parentPort.postMessage({ type: 'struck', index });
    isOver = true;
    break;
  }
  if (turned < disks.length) continue;
  parentPort.postMessage({ type: 'turned' });
  isOver = true;
}
