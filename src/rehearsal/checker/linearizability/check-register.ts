import { Set as PersistentSet } from 'immutable';
import type { Micros } from '../../../common/micros.js';
import { describeOperation } from './describe-operation.js';
import {
  emptyRegister,
  keyOfValue,
  type OrderOperation,
  type RegisterOperation,
  type RegisterValue,
} from './register-operation.js';

/** Whether a history of a register can be explained by one order of its operations. */
export type RegisterVerdict =
  | { readonly type: 'linearizable' }
  /** `detail` names the operation that stayed unexplained in the longest attempt. */
  | { readonly type: 'violation'; readonly detail: string }
  /** The bound on the search was reached before an answer. */
  | { readonly type: 'undecided'; readonly searchedStates: number };

/** A point of the search: the operations explained so far, and what the register holds after them. */
type SearchState = {
  /** All operations before this place are explained. */
  readonly place: number;
  /** Places at or after `place` that are explained, too. */
  readonly explainedAhead: PersistentSet<number>;
  readonly current: RegisterValue;
  /** The keys of all values that took effect. */
  readonly taken: PersistentSet<string>;
  /** One number for each sequence of values that took effect. */
  readonly sequence: number;
};

/** An order that may take effect, from the first call that sent it. */
type PossibleEffect = { readonly value: RegisterValue; readonly base: number; readonly fromUs: Micros };

const defaultStateLimit = 200_000;

const isRequired = (operation: RegisterOperation): boolean =>
  operation.type === 'read' || operation.answer !== 'unknown';

const mayTakeEffect = (value: RegisterValue, base: number, current: RegisterValue): boolean =>
  base === current.version && value.version > current.version;

/** Whether an operation's answer is right without a change of the register. */
const isExplained = (operation: RegisterOperation, { current, taken }: SearchState): boolean => {
  if (operation.type === 'read') return keyOfValue(operation.value) === keyOfValue(current);
  if (operation.answer === 'committed') return taken.has(keyOfValue(operation.value));
  return !taken.has(keyOfValue(operation.value)) && !mayTakeEffect(operation.value, operation.base, current);
};

/** Orders by their base; orders that were refused for a conflict have no effect and are left out. */
const possibleEffectsOf = (history: readonly RegisterOperation[]): ReadonlyMap<number, readonly PossibleEffect[]> => {
  const effects = new Map<string, PossibleEffect>();
  const orders = history.filter(
    (operation): operation is OrderOperation => operation.type === 'order' && operation.answer !== 'conflict',
  );
  for (const { value, base, calledUs } of orders) {
    const key = `${base} ${keyOfValue(value)}`;
    const known = effects.get(key);
    if (known === undefined || calledUs < known.fromUs) effects.set(key, { value, base, fromUs: calledUs });
  }
  const byBase = new Map<number, PossibleEffect[]>();
  for (const effect of effects.values()) byBase.set(effect.base, [...(byBase.get(effect.base) ?? []), effect]);
  return byBase;
};

/** The earliest answer among the operations that are not explained yet; nothing later may be put before it. */
const earliestAnswer = (operations: readonly RegisterOperation[], state: SearchState): Micros => {
  let earliestUs = Number.POSITIVE_INFINITY;
  for (let place = state.place; place < operations.length; place += 1) {
    const operation = operations[place];
    if (operation === undefined || operation.calledUs > earliestUs) break;
    if (!state.explainedAhead.has(place)) earliestUs = Math.min(earliestUs, operation.answeredUs);
  }
  return earliestUs;
};

const withExplained = (state: SearchState, explainedPlace: number): SearchState => {
  let explainedAhead = state.explainedAhead.add(explainedPlace);
  let place = state.place;
  while (explainedAhead.has(place)) {
    explainedAhead = explainedAhead.remove(place);
    place += 1;
  }
  return { ...state, place, explainedAhead };
};

/**
 * Explains every operation whose answer is right as the register stands. Such an operation changes nothing, so if any
 * order of the rest explains the history, the same order explains it with this operation in front: no choice is needed.
 */
const explainAll = (operations: readonly RegisterOperation[], startState: SearchState): SearchState => {
  let state = startState;
  for (let hasChanged = true; hasChanged;) {
    hasChanged = false;
    const boundUs = earliestAnswer(operations, state);
    for (let place = state.place; place < operations.length; place += 1) {
      const operation = operations[place];
      if (operation === undefined || operation.calledUs > boundUs) break;
      if (place < state.place || state.explainedAhead.has(place) || !isExplained(operation, state)) continue;
      state = withExplained(state, place);
      hasChanged = true;
    }
  }
  return state;
};

const keyOfState = ({ place, explainedAhead, sequence }: SearchState): string =>
  `${place}|${sequence}|${[...explainedAhead].sort((left, right) => left - right).join(',')}`;

/** Numbers each sequence of values, so that a state's key stays short. */
const openSequences = () => {
  const numbers = new Map<string, number>();
  return (former: number, value: RegisterValue): number => {
    const key = `${former} ${keyOfValue(value)}`;
    const number = numbers.get(key) ?? numbers.size + 1;
    numbers.set(key, number);
    return number;
  };
};

/**
 * Decides whether a history of reads and compare-and-set orders on one register is linearizable, by the search of Wing
 * and Gong with the memory of visited states that Lowe added. Only orders that change the register are chosen among.
 */
export const checkRegister = (
  history: readonly RegisterOperation[],
  stateLimit: number = defaultStateLimit,
): RegisterVerdict => {
  const operations = history.filter(isRequired).sort((left, right) => left.calledUs - right.calledUs);
  const effectsByBase = possibleEffectsOf(history);
  const sequenceAfter = openSequences();
  const visited = new Set<string>();
  const startState: SearchState = {
    place: 0,
    explainedAhead: PersistentSet(),
    current: emptyRegister,
    taken: PersistentSet(),
    sequence: 0,
  };
  const openStates: SearchState[] = [startState];
  let furthestState = startState;
  for (let next = openStates.pop(); next !== undefined; next = openStates.pop()) {
    const state = explainAll(operations, next);
    if (state.place >= operations.length) return { type: 'linearizable' };
    const key = keyOfState(state);
    if (visited.has(key)) continue;
    visited.add(key);
    if (visited.size > stateLimit) return { type: 'undecided', searchedStates: visited.size };
    if (state.place > furthestState.place) furthestState = state;
    const boundUs = earliestAnswer(operations, state);
    for (const { value, fromUs } of effectsByBase.get(state.current.version) ?? []) {
      if (fromUs > boundUs || value.version <= state.current.version) continue;
      openStates.push({
        ...state,
        current: value,
        taken: state.taken.add(keyOfValue(value)),
        sequence: sequenceAfter(state.sequence, value),
      });
    }
  }
  const { place, current } = furthestState;
  const stuck = operations[place];
  return {
    type: 'violation',
    detail: `${stuck === undefined ? 'nothing' : describeOperation(stuck)} can not be explained after version ${current.version}`,
  };
};
