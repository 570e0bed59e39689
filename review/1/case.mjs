// Core machines lose power, one after the other, while their ring files turn: what was acknowledged must come back.
import { closeSync, openSync, readSync, writeSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Worker } from 'node:worker_threads';
import { documentOf } from '../lib/document.mjs';
import { openFleet, openRecord, pause } from '../lib/fleet.mjs';
import { call, openOperator } from '../lib/operator.mjs';
import { openPlatform } from '../lib/platform.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
/** As many as one `big_config` of the users' further deployments adds. */
const idleRoutes = 1400;
/** The head of a ring file: its first slot, and two slots for the mark of what is synced. */
const headBytes = 192;
const strikesWanted = 2;
const playMs = 98_000;
/** A machine that lost power is back after so long. */
const darkMs = 1_500;
/** `sync_s` after it is back it no longer counts as lost, and the next one may lose power. */
const syncMs = 4_500;
/** The operator's pause after a call to a machine that lost power meanwhile. */
const restMs = 7_000;
/** Callers go on after a second of silence, later for large bodies. */
const silenceMs = 3_000;
const lookMs = 500;
/** `heal_s`, and a margin of a second. */
const healMs = 13_000;

const { note } = openRecord(dirname(fileURLToPath(import.meta.url)));
const fleet = await openFleet({ routers: 1 });
const platform = await openPlatform(fleet.provider, () => []);
const { controls, routers } = fleet;

const headOf = (fd) => {
  const head = Buffer.alloc(headBytes + 16);
  readSync(fd, head, 0, head.length, 0);
  return { bytes: head.subarray(0, headBytes), generation: head.readUInt32LE(4), record: head.readUInt32LE(headBytes + 4) };
};

const openDisk = (control) => ({
  control,
  files: [0, 1].map((index) => {
    const name = `ring-${index}.bin`;
    const fd = openSync(join(control.data, name), 'r+');
    return { name, fd, before: headOf(fd) };
  }),
});

const closeDisk = ({ files }) => files.forEach(({ fd }) => closeSync(fd));

const struck = [];
let isOver = false;
/** The platform starts a process again when it has ended; a machine without power stays dark for a while. */
const keepStarted = async () => {
  while (!isOver) {
    for (const control of controls)
      if (!control.isRunning() && Date.now() >= (control.darkUntilMs ?? 0)) control.start();
    await pause(lookMs);
  }
};

/** What is left on the disk of a machine that lost power: all that was synced, and of the writes since then some. */
const loseWrites = ({ control, files }) => {
  const turning = files.find(({ fd, before }) => {
    const now = headOf(fd);
    return before.generation > 0 && now.generation > before.generation && now.record === now.generation;
  });
  if (turning === undefined) return;
  // The writes to this file since its last sync: the cleared head, the new head, and the snapshot behind them. The first
  // two are missing, the third is there as far as it had come.
  writeSync(turning.fd, turning.before.bytes, 0, headBytes, 0);
  note(`${control.node} lost power: ${turning.name} was not synced, and the two writes to its head are missing`);
};

let held = true;
let ran = false;
let watcher;
let turns = 0;
let mayStrikeMs = 0;
const watch = () => {
  const disks = controls.filter((control) => !struck.includes(control)).map(openDisk);
  const strikes = hasTrouble && struck.length < strikesWanted && Date.now() >= mayStrikeMs;
  watcher = new Worker(new URL('./watch.mjs', import.meta.url), {
    workerData: {
      strikes,
      disks: disks.map(({ control, files }) => ({
        pid: control.pid(),
        files: files.map(({ fd, before }) => ({ fd, generation: before.generation })),
      })),
    },
  });
  watcher.on('message', async ({ type, index }) => {
    if (type === 'turned') {
      turns += 1;
      note(`the ring files of all that run have turned (${turns})`);
      disks.forEach(closeDisk);
      if (!isOver) watch();
      return;
    }
    const { control } = disks[index];
    control.darkUntilMs = Date.now() + darkMs;
    struck.push(control);
    while (control.isRunning()) await pause(2);
    loseWrites(disks[index]);
    disks.forEach(closeDisk);
    await pause(darkMs + syncMs);
    if (!isOver && struck.length < strikesWanted) watch();
  });
};

try {
  for (const node of [...controls, ...routers]) node.start(true);
  const operator = openOperator(controls.map(({ ctl }) => ctl));
  let version = 1;
  const first = await operator.put(documentOf(version), 0, 15_000);
  if (first.status !== 200) throw new Error(`the first configuration was not taken but ${first.status}`);
  note('PUT ver 1 on 0 -> 200');
  while (controls.some((control) => !control.log().includes('"what":"started"'))) await pause(50);
  void keepStarted();
  watch();

  /** The operator may pick any core machine; it picks the one that leads. */
  const leaderNow = () => {
    const leads = controls.map((control) => {
      const roles = control.log().split('\n').filter((line) => line.startsWith('{"what":"role"'));
      const last = JSON.parse(roles.at(-1) ?? '{"role":"none","term":-1}');
      return { control, term: control.isRunning() && last.role === 'leader' ? last.term : -1 };
    });
    return leads.sort((left, right) => right.term - left.term)[0].control;
  };
  /** Sends one order again and again, as it was, until it has a clear answer. */
  const put = async (text, base, budgetMs) => {
    const strikes = struck.length;
    const endMs = Date.now() + budgetMs;
    for (;;) {
      const told = await call(leaderNow().ctl, 'PUT', text, base, silenceMs);
      if (told.status === 200 || Date.now() >= endMs || (struck.length > strikes && struck.length === strikesWanted)) return told;
      if (struck.length > strikes) return { ...told, isCut: true };
      await pause(100);
    }
  };
  const dueMs = Date.now() + playMs;
  while (Date.now() < dueMs && struck.length < strikesWanted && (hasTrouble || turns < 2)) {
    const sent = version + 1;
    const text = documentOf(sent, { idleRoutes });
    let told = await put(text, version, 20_000);
    if (told.isCut) {
      note(`PUT ver ${sent} on ${version} -> no answer; the operator pauses for ${restMs / 1000} s and sends it again`);
      await pause(restMs);
      told = await put(text, version, 6_000);
    }
    if (told.status !== 200) {
      note(`PUT ver ${sent} on ${version} -> ${told.status === 0 ? 'no answer' : told.status}, also when sent again`);
      break;
    }
    version = sent;
    if (version % 25 === 0) note(`PUT ver ${sent} on ${sent - 1} -> 200 (and each one before it)`);
  }
  note(`the newest version that was acknowledged: ${version}`);
  ran = hasTrouble ? struck.length === strikesWanted : turns >= 2;

  await pause(darkMs);
  const readMs = Date.now() + healMs;
  let read = { status: 0, text: '' };
  while (ran && read.status !== 200 && Date.now() < readMs) {
    read = await operator.get(0);
    await pause(lookMs);
  }
  if (ran) {
    const found = read.status === 200 ? JSON.parse(read.text).ver : undefined;
    note(`GET, again and again for ${healMs / 1000} s -> ${found === undefined ? `no 200, at last ${read.status}` : `200, ver ${found}`}`);
    held = found !== undefined && found >= version && read.text === documentOf(found, { idleRoutes });
    for (const { node, ends, log } of controls) {
      const own = ends.filter(({ signal }) => signal === null);
      const cause = log().split('\n').filter((line) => line.startsWith('damaged-disk')).at(-1) ?? '';
      note(`${node} ended by itself ${own.length} times${cause === '' ? '' : `: ${cause.replace(`${fleet.folder}/`, '')}`}`);
    }
  }
} catch (thrown) {
  note(`could not run: ${thrown instanceof Error ? thrown.message : String(thrown)}`);
  ran = false;
} finally {
  isOver = true;
  await watcher?.terminate();
  platform.close();
  await fleet.close();
}
note(ran ? (held ? 'the rule held' : 'the rule was broken') : 'the case could not run');
process.exit(ran ? (held ? 0 : 1) : 2);
