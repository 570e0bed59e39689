import { seeds, test } from './finders.js';
import type { Mutant } from './mutant.js';

/** Deliberate faults in the disk ring and its folder. */
export const diskMutants: readonly Mutant[] = [
  {
    name: 'the mark of a data folder is made before its files are synced into it',
    file: 'src/disk/open-folder.ts',
    find: '  await folder.sync();\n  const mark',
    put: '  const mark',
    by: test('tests/disk/folder-crash.test.js'),
  },
  {
    name: 'a mark that a killed process left is never synced',
    file: 'src/disk/open-folder.ts',
    find: 'await folder.sync();\n      opened =',
    put: 'opened =',
    by: test('tests/disk/folder-crash.test.js'),
  },
  {
    name: 'a foreign file counts as an empty one',
    file: 'src/disk/read-ring-file.ts',
    find: 'return canBeTornHeader(file)\n',
    put: 'return file.length > 0\n',
    by: test('tests/disk/open-folder.test.js'),
  },
  {
    name: 'damage in the newest file is passed over',
    file: 'src/disk/disk-ring.ts',
    find: 'content.generation >= newestGeneration',
    put: 'content.generation < 0',
    by: test('tests/disk/disk-ring.test.js'),
  },
  {
    name: 'damage in a file that a newer one has replaced keeps the machine from starting',
    file: 'src/disk/disk-ring.ts',
    find: 'content.generation >= newestGeneration',
    put: 'content.generation >= 0',
    by: test('tests/disk/power-loss.test.js'),
  },
  {
    name: 'a record that a killed process left unsynced counts as durable',
    file: 'src/disk/disk-ring.ts',
    find: '    await newestFile?.file.sync();\n',
    put: '',
    by: test('tests/disk/power-loss.test.js'),
  },
  {
    name: 'what an interrupted rotation left stays in its file',
    file: 'src/disk/disk-ring.ts',
    find: '      await file.write(0, Buffer.alloc(fileStartBytes));\n',
    put: '',
    by: test('tests/disk/power-loss.test.js'),
  },
  {
    name: 'damage in a replaced file keeps a machine of the simulator from starting',
    file: 'src/disk/disk-ring.ts',
    find: 'content.generation >= newestGeneration',
    put: 'content.generation >= 0',
    by: seeds('core', 'can not read its disk', 20),
  },
  {
    name: 'a record of a killed process is not synced in the simulator',
    file: 'src/disk/disk-ring.ts',
    find: '    await newestFile?.file.sync();\n',
    put: '',
    by: seeds('core', 'kept-before-said|was told|broken-invariant|can not read its disk', 20),
  },
  {
    name: 'the ring says kept without a sync',
    file: 'src/disk/disk-ring.ts',
    find: '        await currentFile.write(offset, encodeRecord(generation, sequence, record));\n        await currentFile.sync();',
    put: '        await currentFile.write(offset, encodeRecord(generation, sequence, record));',
    by: seeds('core', 'kept-before-said|was told|can not read its disk'),
  },
];
