import { test } from 'uvu';
import * as assert from 'uvu/assert';
import type { Frame } from '../../src/spread/frame/frame.js';
import type { PeerLinks } from '../../src/spread/link/peer-links.js';
import { openSimNode } from '../../src/sim/process/sim-node.js';
import type { SimPorts } from '../../src/sim/process/sim-ports.js';
import { simSurroundingsOf } from '../../src/sim/process/sim-surroundings.js';
import { openNetwork } from '../../src/sim/world/network.js';
import { openWorld } from '../../src/sim/world/world.js';

const second = 1_000_000;
const lateFactor = 1_000;

const workOf = (tokens: number): Frame => ({ type: 'work', server: 's', service: 'm', tokens });

/** Two addresses of a virtual world, and a way to start a process at one of them. */
const openPair = () => {
  const world = openWorld(1);
  const network = openNetwork(world);
  const ports: SimPorts = new Map();
  const open = async (address: string, fleet?: string): Promise<PeerLinks> => {
    const life = openSimNode(world).begin();
    const surroundings = simSurroundingsOf(
      { world, network, ports, serverAt: () => undefined, note: () => undefined },
      address,
      address,
      life,
    );
    const links = surroundings.openPartnerLinks(address, fleet === undefined ? {} : { fleet });
    await links.listen();
    return links;
  };
  return { world, network, open };
};

const heardBy = (links: PeerLinks): readonly string[] => {
  const words: string[] = [];
  links.events.on('frame', (_from, frame) => words.push(frame.type === 'work' ? `work ${frame.tokens}` : frame.type));
  links.events.on('dropped', (cause) => words.push(cause));
  return words;
};

test("a former life's frames that arrive after the restart are dropped, each time they arrive", async () => {
  const { world, network, open } = openPair();
  const receiver = await open('b:1');
  const words = heardBy(receiver);
  const former = await open('a:1');
  network.slow(lateFactor);
  former.send('b:1', workOf(1));
  former.send('b:1', workOf(1));
  former.close();
  network.slow(1);
  const restarted = await open('a:1');
  restarted.send('b:1', workOf(2));
  await world.playUntil(10 * second);
  assert.equal(words, ['work 2', 'other-life', 'other-life']);
});

test('frames to a former life of the receiver are dropped by the restarted one', async () => {
  const { world, network, open } = openPair();
  const former = await open('b:1');
  const sender = await open('a:1');
  network.slow(lateFactor);
  sender.send('b:1', workOf(1));
  former.close();
  network.slow(1);
  const words = heardBy(await open('b:1'));
  sender.send('b:1', workOf(2));
  await world.playUntil(10 * second);
  assert.equal(words, ['work 2', 'other-life']);
});

test('frames of another fleet are dropped', async () => {
  const { world, open } = openPair();
  const words = heardBy(await open('b:1'));
  const foreign = await open('a:1', 'elsewhere');
  foreign.send('b:1', workOf(1));
  await world.playUntil(second);
  assert.equal(words, ['other-fleet']);
});

test.run();
