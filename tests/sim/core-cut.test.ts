import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Micros } from '../../src/common/micros.js';
import type { OperatorReply } from '../../src/process/operator/operator-reply.js';
import type { OperatorService } from '../../src/process/operator/operator-service.js';
import { openCoreFleet, type AskedCore } from '../../src/sim/core/core-fleet.js';
import type { SimControl } from '../../src/sim/core/sim-control.js';
import { sampleSetup } from '../../src/sim/sample-setup.js';

const second = 1_000_000;
const cutUs: Micros = 20 * second;
/** A caller goes on to another machine after a second of silence. */
const callerPatienceUs: Micros = second;
const catchUpUs: Micros = second;

type CutDirection = 'both' | 'inward' | 'outward';
type CutRole = 'leader' | 'follower';
type Restart = 'none' | 'cut-machine' | 'other-side';
type CutCase = { readonly direction: CutDirection; readonly role: CutRole; readonly restart: Restart };

/** One call at one machine: what was sent, when it began and ended, and its reply. */
type Call = {
  readonly what: string;
  readonly leastVersion: number;
  readonly atUs: Micros;
  readonly tookUs: Micros;
  readonly reply: OperatorReply;
};

const versionOf = (reply: OperatorReply): number =>
  reply.type === 'record' ? (reply.record.original?.version ?? 0) : 0;

const documentOf = (version: number) => ({ version, text: `document ${version}` });

const cut = (fleet: AskedCore, machine: SimControl, direction: CutDirection): void => {
  for (const other of fleet.machines) {
    if (other === machine) continue;
    if (direction !== 'inward') fleet.network.cut(machine.address(), other.address());
    if (direction !== 'outward') fleet.network.cut(other.address(), machine.address());
  }
};

/** Calls at a machine for a while, and an operator that goes on changing the configuration at the others. */
const openCalls = (fleet: AskedCore, cutMachine: SimControl) => {
  const { world } = fleet;
  const calls: Call[] = [];
  const open = new Set<string>();
  let acknowledgedVersion = 0;
  let baseVersion = 0;
  let drawnVersion = 100;
  let isOver = false;

  const call = (machine: SimControl, what: string, use: (service: OperatorService) => Promise<OperatorReply>): void => {
    const atUs = world.now();
    const leastVersion = acknowledgedVersion;
    const name = `${what} at ${atUs}`;
    machine.hear(({ desk }) => {
      open.add(name);
      void use(desk).then((reply) => {
        open.delete(name);
        calls.push({ what: name, leastVersion, atUs, tookUs: world.now() - atUs, reply });
      });
    });
  };

  const callCutMachine = (): void => {
    if (isOver) return;
    call(cutMachine, 'read', (desk) => desk.read());
    drawnVersion += 1;
    const original = documentOf(drawnVersion);
    const expectedVersion = acknowledgedVersion;
    call(cutMachine, `order ${original.version} on ${expectedVersion}`, (desk) =>
      desk.putOriginal({ setup: sampleSetup('first'), original, expectedVersion }),
    );
    world.after(350_000, callCutMachine);
  };

  /** One order after the other, each sent again, to any machine that is not cut off, until it is acknowledged. */
  const changeElsewhere = (version: number, turn: number): void => {
    if (isOver) return;
    const others = fleet.machines.filter((machine) => machine !== cutMachine);
    const again = (next: number): void => world.after(150_000, () => changeElsewhere(next, turn + 1));
    const isThere = others[turn % others.length]?.hear(({ desk }) => {
      const setup = sampleSetup('first');
      const expectedVersion = baseVersion;
      void desk.putOriginal({ setup, original: documentOf(version), expectedVersion }).then((reply) => {
        if (reply.type !== 'decided') return again(version);
        drawnVersion += 1;
        const nextVersion = drawnVersion;
        if (reply.outcome.type === 'committed') {
          acknowledgedVersion = version;
          baseVersion = version;
          return again(nextVersion);
        }
        /** An order of the cut machine without a definite reply may have been committed in between. */
        void desk.read().then((read) => {
          if (read.type === 'record') baseVersion = versionOf(read);
          again(nextVersion);
        });
      });
    });
    if (isThere !== true) again(version);
  };

  return {
    calls,
    open,
    acknowledgedVersion: () => acknowledgedVersion,
    begin: () => {
      callCutMachine();
      changeElsewhere(drawnVersion + 1, 0);
    },
    end: () => {
      isOver = true;
    },
  };
};

const describe = (call: Call): string =>
  `${call.what} (least ${call.leastVersion}): ${call.reply.type} ${
    call.reply.type === 'decided' ? call.reply.outcome.type : versionOf(call.reply)
  } after ${Math.round(call.tookUs / 1000)} ms`;

const playCut = async (seed: number, { direction, role, restart }: CutCase): Promise<readonly string[]> => {
  const fleet = openCoreFleet(seed, undefined, { refounds: false });
  const found: string[] = [];
  await fleet.playFor(5 * second);
  const leader = fleet.leader();
  const cutMachine = role === 'leader' ? leader : fleet.machines.find((machine) => machine !== leader);
  const other = fleet.machines.find((machine) => machine !== leader && machine !== cutMachine);
  if (cutMachine === undefined || other === undefined) return ['no leader after five seconds'];
  const traffic = openCalls(fleet, cutMachine);
  const cutAtUs = fleet.world.now();
  cut(fleet, cutMachine, direction);
  traffic.begin();
  const restarted = restart === 'cut-machine' ? cutMachine : restart === 'other-side' ? other : undefined;
  fleet.world.after(cutUs / 2, () => restarted?.kill());
  fleet.world.after(cutUs / 2 + second, () => restarted?.start());
  await fleet.playFor(cutUs);
  const leaderBefore = fleet.leader();
  const termBefore = leaderBefore?.replica().term;
  const commitBefore = leaderBefore?.replica().commit ?? 0;
  const versionBefore = traffic.acknowledgedVersion();
  fleet.network.heal();
  await fleet.playFor(catchUpUs);
  if (versionBefore < 110) found.push(`the majority acknowledged up to ${versionBefore} only`);
  if (cutMachine.replica().commit < commitBefore)
    found.push(`caught up to ${cutMachine.replica().commit} of ${commitBefore}`);
  if (fleet.leader() !== leaderBefore || fleet.leader()?.replica().term !== termBefore)
    found.push(`term ${termBefore} led by ${leaderBefore?.name} became ${fleet.leader()?.replica().term}`);
  await fleet.playFor(3 * second);
  traffic.end();
  await fleet.playFor(10 * second);
  if (traffic.open.size > (restart === 'cut-machine' ? 6 : 0)) found.push(`${traffic.open.size} calls without a reply`);
  const healedAtUs = cutAtUs + cutUs;
  for (const call of traffic.calls) {
    const isInside = call.atUs + call.tookUs < healedAtUs;
    if (call.tookUs >= callerPatienceUs) found.push(`late: ${describe(call)}`);
    if (call.reply.type === 'record' && versionOf(call.reply) < call.leastVersion) found.push(`old: ${describe(call)}`);
    if (isInside && direction === 'both' && call.reply.type !== 'refused' && call.reply.type !== 'unknown')
      found.push(`a definite reply while cut off: ${describe(call)}`);
  }
  if (!traffic.calls.some((call) => call.atUs > healedAtUs + second && call.reply.type === 'record'))
    found.push('no read was answered after the cut');
  return [...found, ...fleet.rules.broken()];
};

const roles: readonly CutRole[] = ['leader', 'follower'];
const directions: readonly CutDirection[] = ['both', 'inward', 'outward'];
const restarts: readonly Restart[] = ['none', 'cut-machine', 'other-side'];

for (const role of roles)
  for (const direction of directions)
    for (const restart of restarts)
      test(`a ${role} cut off for 20 s (${direction}, restart: ${restart}) claims nothing it can't know`, async () => {
        for (let seed = 1; seed <= 2; seed += 1)
          assert.equal(await playCut(seed, { direction, role, restart }), [], `seed ${seed}`);
      });

test.run();
