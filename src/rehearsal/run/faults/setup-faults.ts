import type { Setup } from '../../../setup/document/setup.js';
import type { FaultStep } from './fault-step.js';

export const changeSetup: FaultStep = async ({ put, setup }) => {
  await put({ ...setup, pressure: { ...setup.pressure, slots: setup.pressure.slots - 1 } });
};

const large = (setup: Setup, name: string): Setup => ({
  ...setup,
  name,
  rules: [
    ...setup.rules,
    ...setup.rules.flatMap((rule) =>
      Array.from({ length: 400 }, (_, place) => ({ ...rule, kind: `${rule.kind}-${place}` })),
    ),
  ],
});

/** Operators at all machines at once, each on the newest revision; then a burst, a large one and a faulty one. */
export const raceOperators: FaultStep = async ({ put, setup, controls, history }) => {
  const newest = Math.max(0, ...history.puts.map((record) => record.revision ?? 0));
  await Promise.all(
    controls.map((control, place) =>
      put({ ...setup, name: `racer-${newest}-${place}`, flight: { boundUs: 1_500_000 + place } }, newest, control),
    ),
  );
  for (let place = 0; place < 6; place += 1) await put({ ...setup, name: `burst-${newest}-${place}` });
  await put(large(setup, 'large'));
  await put({ ...setup, name: 'invalid', tiers: [] }, undefined, undefined, true);
  await put(setup);
};

/** Large setups as fast as they are taken, and at last the usual one. */
export const burstOfLarge: FaultStep = async ({ put, setup }) => {
  for (let place = 0; place < 12; place += 1) await put(large(setup, `large-${place}`));
  await put({ ...setup, name: 'after-large' });
};
