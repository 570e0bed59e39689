import type { TomlTable, TomlValue } from 'smol-toml';
import type { RandomSource } from '../../../src/common/random.js';
import { between, happens } from './draws.js';

const coreClass = 'core';
const largeCore = 5;
const largeCoreTolerance = 2;
/** Machines held ready in each zone of a varied deployment, so that a long day can replace several. */
const spareCoreMachines = 3;

/** What is changed in the copy of a site file. */
export type Variation = {
  readonly isCoreOfFive: boolean;
  readonly syncFactor: number;
  readonly listLagFactor: number;
  readonly linkDelayFactor: number;
  readonly diskSyncFactor: number;
};

/** Draws the changes to a deployment. */
export const drawVariation = (chance: RandomSource): Variation => ({
  isCoreOfFive: happens(chance, 0.5),
  syncFactor: between(chance, 0.5, 2),
  listLagFactor: between(chance, 0.5, 2),
  linkDelayFactor: between(chance, 0.5, 4),
  diskSyncFactor: between(chance, 0.5, 4),
});

const isTable = (value: TomlValue | undefined): value is TomlTable =>
  typeof value === 'object' && value !== null && !Array.isArray(value) && !('toISOString' in value);

const tablesIn = (value: TomlValue | undefined): readonly TomlTable[] =>
  Array.isArray(value) ? value.filter(isTable) : [];

const scaled = (table: TomlTable, field: string, factor: number): TomlTable => {
  const value = table[field];
  return typeof value === 'number' ? { ...table, [field]: value * factor } : table;
};

const withScaled = (document: TomlTable, section: string, field: string, factor: number): TomlTable => {
  const table = document[section];
  return isTable(table) ? { ...document, [section]: scaled(table, field, factor) } : document;
};

/** For fields that site files have as whole numbers. */
const withRounded = (document: TomlTable, section: string, field: string): TomlTable => {
  const table = document[section];
  const value = isTable(table) ? table[field] : undefined;
  return isTable(table) && typeof value === 'number'
    ? { ...document, [section]: { ...table, [field]: Math.round(value) } }
    : document;
};

const isCore = (machine: TomlTable): boolean => machine.class === coreClass;

const countOf = ({ count }: TomlTable): number => (typeof count === 'number' ? count : 0);

/** How many machines each entry gets so that all together are `wanted`: one more each in turn. */
const grownCounts = (counts: readonly number[], wanted: number): readonly number[] => {
  const missing = wanted - counts.reduce((sum, count) => sum + count, 0);
  return counts.map((count, place) => count + Math.max(0, Math.ceil((missing - place) / counts.length)));
};

const withCoreMachines = (document: TomlTable, { isCoreOfFive, diskSyncFactor }: Variation): TomlTable => {
  const machines = tablesIn(document.machines);
  const cores = machines.filter(isCore);
  const counts = cores.map(countOf);
  const wantedCounts = isCoreOfFive ? grownCounts(counts, largeCore) : counts;
  const variedCores = cores.map((machine, place) => ({
    ...machine,
    count: wantedCounts[place] ?? countOf(machine),
    spare: spareCoreMachines,
    ...(isTable(machine.disk) ? { disk: scaled(machine.disk, 'sync_ms', diskSyncFactor) } : {}),
  }));
  const varied = { ...document, machines: [...machines.filter((machine) => !isCore(machine)), ...variedCores] };
  return isCoreOfFive && isTable(document.tolerate)
    ? { ...varied, tolerate: { ...document.tolerate, machines: largeCoreTolerance } }
    : varied;
};

/** A copy of a parsed site file with the changes made. */
export const varySite = (document: TomlTable, variation: Variation): TomlTable => {
  const withCores = withCoreMachines(document, variation);
  const withSync = withScaled(withCores, 'timing', 'catch_up_s', variation.syncFactor);
  const withListLag = withScaled(withSync, 'discovery', 'lag_ms', variation.listLagFactor);
  const withWholeLag = withRounded(withListLag, 'discovery', 'lag_ms');
  return withScaled(withWholeLag, 'net', 'cross_zone_ms', variation.linkDelayFactor);
};
