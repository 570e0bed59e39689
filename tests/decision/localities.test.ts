import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { interleavedOwners } from '../../src/decision/ring/interleaved-owners.js';
import { positionOf } from '../../src/decision/ring/position.js';
import { ownersFrom, ringOf } from '../../src/decision/ring/ring.js';
import { deliveriesIn, openPlayer } from './player.js';
import { initialServersAt, listOf, recordOf, second } from './fixtures.js';

const localityOf = (owner: string): string => ['a', 'b', 'c'][Number(owner.slice(1)) % 3] ?? 'a';
const members = Array.from({ length: 13 }, (_, index) => ({ key: `s${index}`, id: `s${index}` }));

test('the next owners of every prefix are in other localities, and the first owner stays first', () => {
  const ring = ringOf(members, 16);
  for (let index = 0; index < 500; index += 1) {
    const walked = ownersFrom(ring, positionOf(`opening ${index}`));
    const owners = interleavedOwners(walked, localityOf);
    assert.is(owners[0], walked[0]);
    assert.equal([...owners].sort(), [...walked].sort(), 'no owner is missing');
    assert.is(new Set(owners.slice(0, 3).map(localityOf)).size, 3, `prefix ${index}: ${owners.slice(0, 3).join(' ')}`);
  }
});

test('with a single locality the order is that of the ring', () => {
  const walked = ownersFrom(ringOf(members, 16), positionOf('o'));
  assert.equal(
    interleavedOwners(walked, () => 'a'),
    walked,
  );
});

test('an exchange that fails at its owner goes to another locality', () => {
  const servers = initialServersAt(9, 0).map((server, index) => ({
    ...server,
    locality: ['a', 'b', 'c'][index % 3] ?? 'a',
  }));
  const localityAt = (key: string): string | undefined =>
    servers.find((server) => key.startsWith(`${server.id}/`))?.locality;
  const player = openPlayer();
  player.play({ type: 'setup', at: 0, record: recordOf() }, { type: 'list', at: 0, list: listOf(1, second, servers) });
  for (let index = 0; index < 40; index += 1) {
    const [first] = deliveriesIn(
      player.play({ type: 'exchange', at: second, exchange: `x${index}`, kind: 'ask', prefix: `p${index}` }),
    );
    const [next] = deliveriesIn(
      player.play({
        type: 'failed',
        at: second,
        exchange: `x${index}`,
        attempt: 1,
        sent: false,
        pieces: 0,
        error: 'no-link',
      }),
    );
    assert.ok(first && next);
    assert.is.not(localityAt(next?.server ?? ''), localityAt(first?.server ?? ''));
    player.play({ type: 'abandoned', at: second, exchange: `x${index}` });
  }
});

test.run();
