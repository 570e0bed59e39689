/**
 * Parts of the routing decision that an experiment can switch off one by one (ablation) to measure what each is worth.
 * A serving router has all of them on. The command line takes the names as they are written here.
 */
export type DecisionPolicy = {
  /** Requests with the same cold prompt prefix wait until the first of them has prefilled it. */
  readonly singleFlight: boolean;
  /** Joining and leaving servers receive traffic on the schedule of their booking. */
  readonly bookings: boolean;
  /** Each range of a joining server receives cold prefixes one at a time, at the configured pace. */
  readonly pace: boolean;
  /** A request that would miss its latency target at its owner goes to a server that is expected to respond sooner. */
  readonly quickerServer: boolean;
  /** Long prefills are announced to the other routers. */
  readonly toldWork: boolean;
  /** Requests carry an urgency by which the server orders its queue. */
  readonly urgency: boolean;
  /** Servers with recent failures, at this or another router, are ejected for a while. */
  readonly failures: boolean;
  /** Servers that report a saturated load, to this or another router, are skipped. */
  readonly loads: boolean;
  /** Repeatable requests are retried on another server. */
  readonly retries: boolean;
};

/** Every part on: the policy of a serving router. */
export const defaultPolicy: DecisionPolicy = {
  singleFlight: true,
  bookings: true,
  pace: true,
  quickerServer: true,
  toldWork: true,
  urgency: true,
  failures: true,
  loads: true,
  retries: true,
};

/** The names of all parts, in the order in which an experiment leaves them out. */
export const policyParts: readonly (keyof DecisionPolicy)[] = [
  'singleFlight',
  'bookings',
  'pace',
  'quickerServer',
  'toldWork',
  'urgency',
  'failures',
  'loads',
  'retries',
];

/** The default policy with one part switched off. */
export const policyWithout = (part: keyof DecisionPolicy): DecisionPolicy => ({ ...defaultPolicy, [part]: false });
