/**
 * The name and description of a scenario for the help text. They are listed here so that the help does not load the
 * scenarios; a test compares both lists.
 */
export type KnownScenario = { readonly name: string; readonly about: string };

/** The scenarios that run real processes. */
export const knownScenarios: readonly KnownScenario[] = [
  { name: 'short', about: 'a small fleet for a few seconds: one server joins, one leaves, the setup changes' },
  { name: 'steady', about: 'the whole deployment: servers join and leave, the setup changes' },
  { name: 'join-warm', about: 'one server joins, with warm-up, single-flight and pace' },
  { name: 'join-cold', about: 'one server joins cold: no warm-up, no pace, no waiting behind a prefill' },
  { name: 'join-flight', about: 'one server joins without warm-up and pace, but behind single-flight' },
  {
    name: 'rolling',
    about: 'every model server is replaced and every router and core machine restarted, in turn and in order',
  },
  {
    name: 'rolling-long',
    about: 'the same with streams of three to nine seconds; only what was under way for eight may be broken off',
  },
  { name: 'kills', about: 'routers killed alone and half of them at once, the leader of the core killed' },
  { name: 'freezes', about: 'routers and the leader of the core freeze and wake' },
  { name: 'servers', about: 'model servers crash, go dark alone and all together; a server joins' },
  { name: 'cuts', about: 'the core is cut off and split, a router is isolated, while the setup changes' },
  { name: 'core', about: 'a core machine comes back empty, operators race, put bursts, a large and a faulty setup' },
  { name: 'disks', about: "the leader's disk is slow, stalls, is full; the setup changes meanwhile" },
  { name: 'moves', about: 'a core machine comes back empty at a new address, seeds move, a server leaves in a split' },
  { name: 'crowd', about: 'traffic jumps to three times, most of it on one opening, and one last fault' },
  { name: 'localities', about: 'one locality of three is lost whole, then split off, while the setup changes' },
  { name: 'many', about: 'all routers killed at once, then every process of the fleet, then two faults at a time' },
  {
    name: 'grey',
    about: 'servers that answer probes are slow, err or fall silent; servers leave in a warm-up and in a carry-over',
  },
  { name: 'bursts', about: 'large setups in a fast burst, operators race, the leader is killed in between' },
  { name: 'soak', about: 'troubles drawn by the seed, two or three at a time, on a small fleet' },
];

/** The scenarios that run the state machines in virtual time. */
export const knownSimScenarios: readonly KnownScenario[] = [
  {
    name: 'core',
    about: 'three core machines under kills, freezes, cuts, lost and stalled disks; racing operators, reads and claims',
  },
  {
    name: 'core-cuts',
    about:
      'a core machine is cut off for twenty seconds, both ways, one way or from one other; orders and reads on both sides',
  },
  {
    name: 'core-replacements',
    about:
      'cores of three and five lose, wipe and replace one machine after another; replaced ones come back with old disks',
  },
  {
    name: 'core-histories',
    about: 'a thousand orders, some of a megabyte, through restarts and bad disks; late and empty machines catch up',
  },
  {
    name: 'core-repeats',
    about:
      'acknowledgements are lost, orders repeated to other machines at once, after hundreds of changes and restarts of all',
  },
  {
    name: 'claims',
    about:
      'seventeen minutes of keyed exchanges at three times the full rate, while core machines are killed: no table is ever full',
  },
  {
    name: 'failover',
    about:
      'the leader of the core is lost in every way; counts are the milliseconds without a decided claim, summed over seeds',
  },
  {
    name: 'fleet',
    about: 'core, routers, servers, callers and platform under every fault of the brief, on a small fleet',
  },
  { name: 'archive', about: "the same at the Archive's sizes and rate" },
  { name: 'cuenca', about: "the same at Cuenca's sizes and rate" },
  {
    name: 'last-fault',
    about:
      'one fault in the last second before trouble ends, every one in turn (seeds 1-28), and service back within twelve seconds',
  },
  {
    name: 'rolling',
    about:
      'all model servers replaced, all routers and core machines restarted in order: nothing cut off, hardly anything refused',
  },
  {
    name: 'rolling-long',
    about:
      'the same with streams of four, seven and eleven seconds; only what was under way for eight may be broken off',
  },
];

export const knownDeployments: readonly string[] = ['archive', 'cuenca'];
