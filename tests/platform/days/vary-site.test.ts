import fc from 'fast-check';
import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { seededRandom } from '../../../src/common/random.js';
import { siteOf, type Site } from './site.js';
import { plain, siteDocument } from './site-document.js';
import { drawVariation, varySite, type Variation } from './vary-site.js';

const unchanged: Variation = {
  isCoreOfFive: false,
  syncFactor: 1,
  listLagFactor: 1,
  linkDelayFactor: 1,
  diskSyncFactor: 1,
};

const variedSite = (changes: Partial<Variation>): Site =>
  siteOf(varySite(siteDocument(), { ...unchanged, ...changes })).unsafeCoerce();

const lagOf = (discovery: unknown): unknown =>
  typeof discovery === 'object' && discovery !== null && 'lag_ms' in discovery ? discovery.lag_ms : undefined;

test('a core of five is spread over the zones that had core machines, and may lose two', () => {
  const document = varySite(siteDocument(), { ...unchanged, isCoreOfFive: true });
  const read = siteOf(document).unsafeCoerce();
  assert.is(read.coreMachines, 5);
  assert.is(read.toleratedMachines, 2);
  assert.equal(plain(document.tolerate), { machines: 2, zones: 0 });
  assert.equal(plain(document.machines), [
    { class: 'front', zone: 'north', count: 2, spare: 1 },
    { class: 'core', zone: 'north', count: 2, spare: 3, disk: { mb: 64, sync_ms: 2 } },
    { class: 'core', zone: 'south', count: 3, spare: 3, disk: { mb: 64, sync_ms: 2 } },
  ]);
});

test('a core that has five machines keeps them', () => {
  const five = varySite(siteDocument(), { ...unchanged, isCoreOfFive: true });
  const again = varySite(five, { ...unchanged, isCoreOfFive: true });
  assert.equal(again, five);
});

test('the sync time, the lag of the list, links and disks are scaled, and the rest stays', () => {
  assert.is(variedSite({ syncFactor: 1.5 }).syncS, 4.5);
  const document = varySite(siteDocument(), { ...unchanged, listLagFactor: 2, linkDelayFactor: 4, diskSyncFactor: 2 });
  assert.equal(plain(document.discovery), { lag_ms: 1400 });
  assert.equal(plain(document.net), { cross_zone_ms: 6 });
  assert.match(JSON.stringify(document.machines), '"sync_ms":4');
  assert.equal(document.bounds, siteDocument().bounds);
  assert.equal(document.services, siteDocument().services);
  assert.equal(document.troubles, siteDocument().troubles);
});

test('the lag of the list stays whole milliseconds, as site files have it', () => {
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const { discovery } = varySite(siteDocument(), drawVariation(seededRandom(seed)));
      assert.ok(Number.isInteger(lagOf(discovery)), JSON.stringify(discovery));
    }),
  );
});

test('every drawn variation leaves a deployment that can be read, with a majority beyond what may be lost', () => {
  fc.assert(
    fc.property(fc.integer(), (seed) => {
      const read = siteOf(varySite(siteDocument(), drawVariation(seededRandom(seed)))).unsafeCoerce();
      assert.ok(read.coreMachines >= 2 * read.toleratedMachines + 1);
      assert.ok(read.syncS > 0);
    }),
  );
});

test.run();
