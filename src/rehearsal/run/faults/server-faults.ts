import { monotonicNow } from '../../../common/micros.js';
import { randomItem } from '../../../common/random.js';
import type { StandInServer } from '../../stand-in/stand-in-server.js';
import type { RehearsalParts } from '../rehearsal-parts.js';
import type { FaultStep } from './fault-step.js';

export const modelsOf = (parts: RehearsalParts): readonly StandInServer[] =>
  parts.serverPool.servers().filter((server) => server.listed.service === parts.deployment.modelService);

const withModel =
  (act: (server: StandInServer, parts: RehearsalParts) => Promise<void>): FaultStep =>
  async (parts) => {
    const server = randomItem(parts.chance, modelsOf(parts));
    if (server !== undefined) await act(server, parts);
  };

export const crashServer: FaultStep = withModel(async (server, parts) => {
  server.crash();
  await parts.pause(1_000_000);
  await parts.serverPool.comeBack(server.listed.id);
});

export const reuseAddress: FaultStep = withModel(async (server, parts) => {
  const router = randomItem(parts.chance, parts.routers);
  if (router === undefined) return;
  router.freeze();
  server.crash();
  await parts.serverPool.usurp(server.listed.address);
  await parts.pause(1_500_000);
  await parts.serverPool.comeBack(server.listed.id);
  await parts.pause(1_500_000);
  router.wake();
});

const darkFor = async (servers: readonly StandInServer[], parts: RehearsalParts, spanUs: number): Promise<void> => {
  const wakes = servers.map((server) => server.goDark());
  await parts.pause(spanUs);
  for (const wake of wakes) wake();
};

export const darkServer: FaultStep = withModel((server, parts) => darkFor([server], parts, 5_000_000));

export const allDark: FaultStep = (parts) => darkFor(modelsOf(parts), parts, 4_000_000);

/** A server answers probes, but its work goes wrong in one way after another. */
export const greyServer: FaultStep = withModel(async (server, parts) => {
  for (const faultMode of ['slow', 'erring', 'stuck'] as const) {
    server.become(faultMode);
    await parts.pause(3_000_000);
  }
  server.become('well');
});

export const join: FaultStep = async (parts) => {
  for (const joiner of await parts.serverPool.open(1, 'model'))
    parts.history.joins.push({ server: joiner.listed.id, atUs: monotonicNow() });
};

const leaving = async (parts: RehearsalParts, leaver: StandInServer | undefined): Promise<void> => {
  if (leaver === undefined) return;
  parts.serverPool.leave(leaver.listed.id);
  await parts.pause(9_000_000);
  parts.serverPool.remove(leaver.listed.id);
};

export const leaveOne: FaultStep = (parts) => leaving(parts, modelsOf(parts)[0]);

/** A server joins and is shown as leaving in the middle of its warm-up. */
export const leaveInWarmUp: FaultStep = async (parts) => {
  const [joiner] = await parts.serverPool.open(1, 'model');
  await parts.pause(2_000_000);
  await leaving(parts, joiner);
};

/** A server crashes, and a moment later another one, which has taken over streams, is shown as leaving. */
export const leaveInCarryOver: FaultStep = async (parts) => {
  const [crashing, leaver] = modelsOf(parts);
  if (crashing === undefined) return;
  crashing.crash();
  await parts.pause(150_000);
  await Promise.all([
    leaving(parts, leaver),
    parts.pause(1_000_000).then(() => parts.serverPool.comeBack(crashing.listed.id)),
  ]);
};

/** Replaces every model server in turn: a new one joins, an old one leaves. */
export const rollServers: FaultStep = async (parts) => {
  for (const old of modelsOf(parts)) {
    await parts.serverPool.open(1, 'model');
    parts.serverPool.leave(old.listed.id);
    await parts.pause(3_500_000);
    void parts.pause(5_500_000).then(() => parts.serverPool.remove(old.listed.id));
  }
  await parts.pause(6_000_000);
};
