import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { OutageType } from '../history/outage-type.js';
import type { LaunchedNode, NodeAddresses } from './launched-node.js';

const mainPath = fileURLToPath(new URL('../../cli/main.js', import.meta.url));

/** What is started where it is not the project's own command line. */
export type LaunchProgram = {
  readonly main: string;
  readonly settingsText: string;
  /** The variable that names the settings file. */
  readonly settingsVariable: string;
};

export type LaunchPlan = {
  readonly program?: LaunchProgram;
  readonly node: string;
  readonly role: 'router' | 'control';
  readonly locality: string;
  readonly http: string;
  readonly partners: string;
  readonly partnersListen: string;
  readonly seeds: readonly string[];
  readonly folder: string;
  /** Hears when the process is hit and when it is whole again. */
  readonly tell: (type: 'begins' | 'ends', what: OutageType) => void;
};

const bytesOfKb = 1_024;

const residentBytesOf = (pid: number | undefined): number => {
  try {
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) * bytesOfKb;
  } catch {
    return 0;
  }
};

/** What is still to be ended when this process ends. */
const endings = new Set<() => void>();
process.once('exit', () => {
  for (const end of endings) end();
});

/** Prepares one process; the only place where the project starts processes. */
export const planNode = (plan: LaunchPlan): LaunchedNode => {
  const settingsPath = join(plan.folder, `${plan.node}.json`);
  const logPath = join(plan.folder, `${plan.node}.log`);
  const data = plan.role === 'control' ? join(plan.folder, `${plan.node}-data`) : undefined;
  let addresses: NodeAddresses = { http: plan.http, partners: plan.partners, partnersListen: plan.partnersListen };
  let seeds = plan.seeds;
  let child: ChildProcess | undefined;
  let boot = 0;

  const writeSettings = (): void =>
    writeFileSync(
      settingsPath,
      plan.program?.settingsText ??
        JSON.stringify({
          node: plan.node,
          locality: plan.locality,
          ...addresses,
          seeds,
          ...(data === undefined ? {} : { data, ringFiles: 3, ringFileBytes: 16 << 20 }),
        }),
    );
  endings.add(() => void child?.kill('SIGKILL'));

  const isRunning = (): boolean => child !== undefined && child.exitCode === null && child.signalCode === null;

  const exited = (running: ChildProcess): Promise<number | null> =>
    new Promise((resolve) => {
      if (running.exitCode !== null || running.signalCode !== null) resolve(running.exitCode);
      else running.once('exit', (code) => resolve(code));
    });

  return {
    node: plan.node,
    role: plan.role,
    locality: plan.locality,
    logPath,
    get http() {
      return addresses.http;
    },
    get partners() {
      return addresses.partners;
    },
    boot: () => boot,
    start: () => {
      if (isRunning()) return;
      plan.tell('ends', 'down');
      boot += 1;
      writeSettings();
      const logFile = openSync(logPath, 'a');
      const { program } = plan;
      child = spawn(
        process.execPath,
        program === undefined ? [mainPath, plan.role, '--settings', settingsPath] : [program.main, plan.role],
        {
          stdio: ['ignore', logFile, logFile, 'ipc'],
          env: program === undefined ? process.env : { ...process.env, [program.settingsVariable]: settingsPath },
        },
      );
      closeSync(logFile);
    },
    kill: async () => {
      if (child === undefined) return;
      plan.tell('ends', 'frozen');
      plan.tell('ends', 'disk');
      plan.tell('begins', 'down');
      child.kill('SIGKILL');
      await exited(child);
    },
    terminate: async () => {
      if (child === undefined) return null;
      child.kill('SIGTERM');
      const code = await exited(child);
      plan.tell('begins', 'down');
      return code;
    },
    ended: async () => (child === undefined ? null : exited(child)),
    reload: () => {
      if (isRunning()) child?.kill('SIGHUP');
    },
    freeze: () => {
      plan.tell('begins', 'frozen');
      child?.kill('SIGSTOP');
    },
    wake: () => {
      plan.tell('ends', 'frozen');
      child?.kill('SIGCONT');
    },
    loseDisk: () => {
      if (data !== undefined) rmSync(data, { recursive: true, force: true });
    },
    troubleDisk: (trouble) => {
      plan.tell(trouble.fails || trouble.delayUs > 0 ? 'begins' : 'ends', 'disk');
      if (child?.connected === true) child.send(trouble);
    },
    move: (newAddresses) => {
      addresses = newAddresses;
    },
    reseed: (newSeeds) => {
      seeds = newSeeds;
    },
    isRunning,
    residentBytes: () => (isRunning() ? residentBytesOf(child?.pid) : 0),
    endedBy: () => {
      if (child === undefined || isRunning()) return undefined;
      return child.signalCode ?? `exit code ${child.exitCode}`;
    },
  };
};
