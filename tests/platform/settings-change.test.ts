import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { onSettingsChange } from '../../platform/settings/on-settings-change.js';
import type { Clock } from '../../src/common/clock/clock.js';

const textWith = (peer: string): string =>
  `nodename=e\ntype=edge\ninet=10.1.0.12\nzone=z\nport_range=7660,7675\npeers=${peer}\nbootstrap=true\n` +
  'limits_sys.contact_ms=3000\nlimits_sys.quiesce_ms=3000\nlimits_sys.linger_s=8\nlimits_sys.apply_ms=2000\n' +
  'limits_sys.retry_ratio=0.2\nlimits_sys.retry_win_s=10\nlimits_sys.retry_extra=52\n';

/** A clock whose callbacks run when the test says so. */
const openHandClock = () => {
  const waiting = new Set<() => void>();
  const clock: Clock = {
    now: () => 0,
    after: (_span, act) => {
      waiting.add(act);
      return () => waiting.delete(act);
    },
  };
  const turn = (): void => {
    const due = [...waiting];
    waiting.clear();
    due.forEach((act) => act());
  };
  return { clock, turn, isIdle: () => waiting.size === 0 };
};

const withFile = (use: (path: string) => void): void => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  try {
    use(join(folder, 'node.conf'));
  } finally {
    rmSync(folder, { recursive: true });
  }
};

test('a file that changes without a signal is read again, once a change, and one that does not hold is passed over', () =>
  withFile((path) => {
    writeFileSync(path, textWith('10.1.0.1:80'));
    const { clock, turn, isIdle } = openHandClock();
    const taken: string[] = [];
    const faults: string[] = [];
    const log = { change: (what: string) => void faults.push(what) };
    const end = onSettingsChange(clock, log, ({ peers }) => void taken.push(peers.join()), path);
    turn();
    assert.equal(taken, []);
    writeFileSync(path, textWith('10.1.0.2:80'));
    turn();
    turn();
    assert.equal(taken, ['10.1.0.2:80']);
    writeFileSync(path, 'nodename=e\n');
    turn();
    turn();
    assert.equal([taken.length, faults], [1, ['settings do not hold']]);
    rmSync(path);
    turn();
    writeFileSync(path, textWith('10.1.0.3:80'));
    turn();
    assert.equal(taken, ['10.1.0.2:80', '10.1.0.3:80']);
    end();
    assert.ok(isIdle(), 'nothing keeps the process');
  }));

test('a signal reads the file at once, and the look after it does not read it a second time', () =>
  withFile((path) => {
    writeFileSync(path, textWith('10.1.0.1:80'));
    const { clock, turn } = openHandClock();
    const taken: string[] = [];
    const end = onSettingsChange(
      clock,
      { change: () => undefined },
      ({ peers }) => void taken.push(peers.join()),
      path,
    );
    writeFileSync(path, textWith('10.1.0.2:80'));
    process.emit('SIGHUP', 'SIGHUP');
    turn();
    assert.equal(taken, ['10.1.0.2:80']);
    end();
  }));

test.run();
