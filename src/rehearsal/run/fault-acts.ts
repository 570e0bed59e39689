import { steadyNow } from '../../common/micros.js';
import { oneOf } from '../../common/chance.js';
import { noTrouble } from '../../disk/disk-trouble.js';
import { freePorts } from '../launcher/free-ports.js';
import type { LaunchedNode } from '../launcher/launched-node.js';
import type { RehearsalParts } from './rehearsal-parts.js';

/** One fault against real processes, brought and ended. */
export type FaultAct = (parts: RehearsalParts) => Promise<void>;

const restarted = async (node: LaunchedNode, parts: RehearsalParts, millis: number): Promise<void> => {
  await node.kill();
  await parts.pause(millis);
  node.start();
};

export const killRouter: FaultAct = async (parts) => {
  const router = oneOf(parts.chance, parts.routers);
  if (router !== undefined) await parts.trouble('kill', () => restarted(router, parts, 1_000));
};

export const killHalf: FaultAct = (parts) =>
  parts.trouble('kill', async () => {
    await Promise.all(parts.routers.filter((_, place) => place % 2 === 0).map((router) => restarted(router, parts, 1_500)));
  });

export const freezeRouter: FaultAct = async (parts) => {
  const router = oneOf(parts.chance, parts.routers);
  if (router === undefined) return;
  await parts.trouble('freeze', async () => {
    router.freeze();
    await parts.pause(4_000);
    router.wake();
  });
};

export const killLeader: FaultAct = async (parts) => {
  const leader = await parts.leader();
  if (leader !== undefined) await parts.trouble('kill', () => restarted(leader, parts, 1_500));
};

export const freezeLeader: FaultAct = async (parts) => {
  const leader = await parts.leader();
  if (leader === undefined) return;
  await parts.trouble('freeze', async () => {
    leader.freeze();
    await parts.pause(4_000);
    leader.wake();
  });
};

export const loseDisk: FaultAct = async (parts) => {
  const control = oneOf(parts.chance, parts.controls);
  if (control === undefined) return;
  await parts.trouble('kill', async () => {
    await control.kill();
    control.loseDisk();
    await parts.pause(1_000);
    control.start();
    await parts.pause(9_000);
  });
};

const cutFor = (parts: RehearsalParts, left: readonly LaunchedNode[], right: readonly LaunchedNode[], oneWay: boolean): Promise<void> =>
  parts.trouble('cut', async () => {
    parts.relays.cut(
      left.map((node) => node.partners),
      right.map((node) => node.partners),
      oneWay,
    );
    await parts.pause(4_000);
    parts.relays.heal();
  });

export const cutCoreOff: FaultAct = (parts) => cutFor(parts, parts.controls, parts.routers, false);

export const splitCore: FaultAct = (parts) => cutFor(parts, parts.controls.slice(0, 1), parts.controls.slice(1), false);

export const isolateRouter: FaultAct = (parts) => {
  const router = oneOf(parts.chance, parts.routers);
  const others = [...parts.controls, ...parts.routers].filter((node) => node !== router);
  return router === undefined ? Promise.resolve() : cutFor(parts, [router], others, parts.chance() < 0.4);
};

const modelsOf = (parts: RehearsalParts) => parts.hands.servers().filter((server) => server.listed.service === parts.deployment.modelService);

export const crashServer: FaultAct = async (parts) => {
  const server = oneOf(parts.chance, modelsOf(parts));
  if (server === undefined) return;
  await parts.trouble('crash', async () => {
    server.crash();
    await parts.pause(1_000);
    await parts.hands.comeBack(server.listed.id);
  });
};

export const reuseAddress: FaultAct = async (parts) => {
  const server = oneOf(parts.chance, modelsOf(parts));
  const router = oneOf(parts.chance, parts.routers);
  if (server === undefined || router === undefined) return;
  await parts.trouble('freeze', async () => {
    router.freeze();
    server.crash();
    await parts.hands.usurp(server.listed.address);
    await parts.pause(1_500);
    await parts.hands.comeBack(server.listed.id);
    await parts.pause(1_500);
    router.wake();
  });
};

export const darkServer: FaultAct = async (parts) => {
  const server = oneOf(parts.chance, modelsOf(parts));
  if (server === undefined) return;
  await parts.trouble('dark', async () => {
    const wake = server.goDark();
    await parts.pause(5_000);
    wake();
  });
};

export const allDark: FaultAct = (parts) =>
  parts.trouble('dark', async () => {
    const wakes = modelsOf(parts).map((server) => server.goDark());
    await parts.pause(4_000);
    for (const wake of wakes) wake();
  });

export const crowd: FaultAct = (parts) =>
  parts.trouble('crowd', async () => {
    const end = parts.traffic.crowd(0.7);
    parts.traffic.speed(3);
    await parts.pause(6_000);
    parts.traffic.speed(1);
    end();
  });

export const join: FaultAct = async (parts) => {
  for (const joiner of await parts.hands.open(1, 'model')) parts.history.joins.push({ server: joiner.listed.id, atUs: steadyNow() });
};

export const leaveOne: FaultAct = async (parts) => {
  const leaver = modelsOf(parts)[0];
  if (leaver === undefined) return;
  parts.hands.leave(leaver.listed.id);
  await parts.pause(9_000);
  parts.hands.remove(leaver.listed.id);
};

export const changeSetup: FaultAct = async ({ put, setup }) => {
  await put({ ...setup, pressure: { ...setup.pressure, slots: setup.pressure.slots - 1 } });
};

/** Two operators at once, each on the newest revision, at two machines; then a burst, a large one and a faulty one. */
export const raceOperators: FaultAct = async (parts) => {
  const { put, setup, controls, history } = parts;
  const newest = Math.max(0, ...history.puts.map((record) => record.revision ?? 0));
  await Promise.all(
    controls.map((control, place) => put({ ...setup, name: `racer-${place}`, flight: { boundUs: 1_500_000 + place } }, newest, control)),
  );
  for (let place = 0; place < 6; place += 1) await put({ ...setup, name: `burst-${place}` });
  const manyRules = setup.rules.flatMap((rule) => Array.from({ length: 400 }, (_, place) => ({ ...rule, kind: `${rule.kind}-${place}` })));
  await put({ ...setup, name: 'large', rules: [...setup.rules, ...manyRules] });
  await put({ ...setup, name: 'invalid', tiers: [] });
  await put(setup);
};

/** Restarts every router in turn, in order, as the platform does. */
export const rollRouters: FaultAct = async (parts) => {
  for (const router of parts.routers) {
    await router.terminate();
    router.start();
    await parts.ready(router);
  }
};

/** Replaces every model server in turn: a new one joins, an old one leaves. */
export const rollServers: FaultAct = async (parts) => {
  for (const old of modelsOf(parts)) {
    await parts.hands.open(1, 'model');
    parts.hands.leave(old.listed.id);
    await parts.pause(3_500);
    void parts.pause(5_500).then(() => parts.hands.remove(old.listed.id));
  }
  await parts.pause(6_000);
};

export const rollControls: FaultAct = async (parts) => {
  for (const control of parts.controls) {
    await control.terminate();
    control.start();
    await parts.ready(control);
  }
};

/** Every sync of the leader takes so much longer, for a while. */
const delayLeaderDisk =
  (delayMillis: number, spanMillis: number): FaultAct =>
  async (parts) => {
    const leader = await parts.leader();
    if (leader === undefined) return;
    await parts.trouble('disk', async () => {
      leader.troubleDisk({ delayMillis, fails: false });
      await parts.pause(spanMillis);
      leader.troubleDisk(noTrouble);
    });
  };

export const slowLeaderDisk = delayLeaderDisk(150, 5_000);

export const stallLeaderDisk = delayLeaderDisk(4_000, 4_000);

/** The leader's disk is full; it ends itself and comes back. */
export const fillDisk: FaultAct = async (parts) => {
  const control = await parts.leader();
  if (control === undefined) return;
  await parts.trouble('disk', async () => {
    control.troubleDisk({ delayMillis: 0, fails: true });
    await Promise.race([control.ended(), parts.pause(10_000)]);
    if (control.isRunning()) throw new Error('a core machine went on with a full disk');
    await parts.pause(1_000);
    control.start();
  });
};

/** A core machine comes back empty at new addresses; whoever starts from then on is given the new seeds. */
export const moveCore: FaultAct = async (parts) => {
  const { controls, routers, relays } = parts;
  const control = oneOf(parts.chance, controls);
  const router = oneOf(parts.chance, routers);
  if (control === undefined || router === undefined) return;
  await parts.trouble('kill', async () => {
    await control.kill();
    control.loseDisk();
    const [http = 0, partners = 0, partnersListen = 0] = await freePorts(3);
    const moved = { http: `127.0.0.1:${http}`, partners: `127.0.0.1:${partners}`, partnersListen: `127.0.0.1:${partnersListen}` };
    control.move(moved);
    await relays.open(moved.partners, moved.partnersListen);
    for (const node of [...controls, ...routers]) node.reseed(controls.map((known) => known.partners));
    control.start();
    await parts.pause(9_000);
    await router.kill();
    router.start();
    await parts.ready(router);
  });
};

/** A server is shown as leaving while half of the fleet is cut off from the other half. */
export const leaveInSplit: FaultAct = async (parts) => {
  const nodes = [...parts.controls, ...parts.routers];
  await Promise.all([
    leaveOne(parts),
    cutFor(
      parts,
      nodes.filter((_, place) => place % 2 === 0),
      nodes.filter((_, place) => place % 2 === 1),
      false,
    ),
  ]);
};
