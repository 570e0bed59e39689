import type { LogEntry } from '../../src/control/log/log-entry.js';
import { entryAt, lastIndexOf, membersOf, termAt } from '../../src/control/machine/log-queries.js';
import type { Replica } from '../../src/control/machine/replica.js';
import type { Member } from '../../src/control/members/member.js';
import { applyCommand } from '../../src/control/state/apply.js';
import { stateDigestOf } from '../../src/control/state/state-digest.js';
import { emptyReplicatedState, type ReplicatedState } from '../../src/control/state/replicated-state.js';

/** What no replica alone can see: who led, which entries there were, what was committed and what it came to. */
export type History = {
  readonly leaderOfTerm: ReadonlyMap<number, string>;
  /** Every entry that stood in a log, by index and term. */
  readonly entries: ReadonlyMap<string, string>;
  readonly committed: readonly LogEntry[];
  readonly stateDigests: readonly string[];
  readonly state: ReplicatedState;
};

export const startHistory: History = {
  leaderOfTerm: new Map(),
  entries: new Map(),
  committed: [],
  stateDigests: [],
  state: emptyReplicatedState,
};

/** A history, and the rules that were broken on the way to it. */
export type Observed = { readonly history: History; readonly broken: readonly string[] };

const commandDigests = new WeakMap<LogEntry, string>();

const commandDigestOf = (entry: LogEntry): string => {
  const known = commandDigests.get(entry);
  if (known !== undefined) return known;
  const digest = JSON.stringify(entry.command);
  commandDigests.set(entry, digest);
  return digest;
};

/** Who was removed though its disk lives, for an identity at the same address whose disk is gone. */
const evictedMembers = (
  former: readonly Member[],
  members: readonly Member[],
  lost: ReadonlySet<string>,
): readonly Member[] =>
  former.filter(
    (member) =>
      !lost.has(member.identity) &&
      !members.some((other) => other.identity === member.identity) &&
      members.some((other) => other.address === member.address && lost.has(other.identity)),
  );

const checkMembers = (replica: Replica, entry: LogEntry, lost: ReadonlySet<string>): readonly string[] => {
  if (entry.command.type !== 'members') return [];
  const before = replica.entries.slice(0, Math.max(0, entry.index - replica.snapshot.index - 1));
  const former = membersOf({ snapshot: replica.snapshot, entries: before });
  return evictedMembers(former, entry.command.members, lost).map(
    (member) => `a dead identity evicts the living member ${member.identity} by entry ${entry.index}`,
  );
};

/** Log matching: an entry of one index and term is the same everywhere, and so is the term before it. */
const observeEntries = (
  { history, broken }: Observed,
  former: Replica | undefined,
  replica: Replica,
  lost: ReadonlySet<string>,
): Observed => {
  if (former?.entries === replica.entries) return { history, broken };
  const found: string[] = [];
  let entries: Map<string, string> | undefined;
  for (const entry of replica.entries) {
    const key = `${entry.index}:${entry.term}`;
    const digest = `${termAt(replica, entry.index - 1)} ${commandDigestOf(entry)}`;
    const known = (entries ?? history.entries).get(key);
    if (known === digest) continue;
    if (known !== undefined) found.push(`log matching: entry ${key} of ${replica.identity} is not the one known`);
    entries ??= new Map(history.entries);
    entries.set(key, digest);
    found.push(...checkMembers(replica, entry, lost));
  }
  return { history: entries === undefined ? history : { ...history, entries }, broken: [...broken, ...found] };
};

const commitNext = (history: History, entry: LogEntry): History => {
  const { state } = applyCommand(history.state, entry.command);
  return {
    ...history,
    state,
    committed: [...history.committed, entry],
    stateDigests: [...history.stateDigests, stateDigestOf(state)],
  };
};

const checkCommitted = (replica: Replica, index: number, committed: LogEntry): readonly string[] => {
  const term = termAt(replica, index);
  return term === undefined || term === committed.term
    ? []
    : [`${replica.identity} commits entry ${index} of term ${term}, but term ${committed.term} is committed`];
};

const observeCommitted = (
  { history, broken }: Observed,
  former: Replica | undefined,
  replica: Replica,
  index: number,
): Observed => {
  const committed = history.committed[index - 1];
  if (committed !== undefined) return { history, broken: [...broken, ...checkCommitted(replica, index, committed)] };
  const entry = entryAt(replica, index) ?? (former === undefined ? undefined : entryAt(former, index));
  return entry === undefined
    ? { history, broken: [...broken, `${replica.identity} commits entry ${index}, which it does not hold`] }
    : { history: commitNext(history, entry), broken };
};

/** State machine safety: one entry is committed at an index, and it leaves the same state on every replica. */
const observeCommit = (seen: Observed, former: Replica | undefined, replica: Replica): Observed => {
  if (former !== undefined && replica.commit === former.commit) return seen;
  let reached = seen;
  for (let index = (former?.commit ?? 0) + 1; index <= replica.commit; index += 1)
    reached = observeCommitted(reached, former, replica, index);
  const isSame =
    replica.commit === 0 || reached.history.stateDigests[replica.commit - 1] === stateDigestOf(replica.state);
  return isSame
    ? reached
    : {
        history: reached.history,
        broken: [...reached.broken, `${replica.identity} has another state at entry ${replica.commit}`],
      };
};

const missingCommitted = (history: History, replica: Replica): number | undefined =>
  history.committed.find(
    ({ index, term }) =>
      index >= replica.snapshot.index && (index > lastIndexOf(replica) || termAt(replica, index) !== term),
  )?.index;

/** Election safety and leader completeness: one leader a term, and it holds all that is committed. */
const observeLeader = ({ history, broken }: Observed, former: Replica | undefined, replica: Replica): Observed => {
  if (replica.role !== 'leader' || (former?.role === 'leader' && former.term === replica.term))
    return { history, broken };
  const known = history.leaderOfTerm.get(replica.term);
  const missing = missingCommitted(history, replica);
  return {
    history: { ...history, leaderOfTerm: new Map(history.leaderOfTerm).set(replica.term, replica.identity) },
    broken: [
      ...broken,
      ...(known === undefined || known === replica.identity
        ? []
        : [`term ${replica.term} has two leaders, ${known} and ${replica.identity}`]),
      ...(missing === undefined
        ? []
        : [`${replica.identity} leads in term ${replica.term} without the committed entry ${missing}`]),
    ],
  };
};

/** Takes in what a replica has become, and names the cross-replica rules that it breaks. */
export const observe = (
  history: History,
  former: Replica | undefined,
  replica: Replica,
  lost: ReadonlySet<string>,
): Observed =>
  observeCommit(
    observeLeader(observeEntries({ history, broken: [] }, former, replica, lost), former, replica),
    former,
    replica,
  );
