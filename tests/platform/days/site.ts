import type { Either } from 'purify-ts';
import { array, number, object, string } from 'yup';
import { validate } from '../../../src/common/validate.js';
import type { Fault } from '../../../src/common/fault.js';
import type { Trouble } from './trouble.js';

/** The figures of a deployment that a drawn day depends on. */
export type Site = {
  readonly name: string;
  /** Length of the deployment's own days, the shortest that is drawn. */
  readonly lengthS: number;
  readonly contracts: readonly string[];
  readonly coreMachines: number;
  /** How many core machines may be lost at once. */
  readonly toleratedMachines: number;
  /** How long a machine that is back still counts as lost. */
  readonly syncS: number;
  /** How long a machine may be out of touch before the rules allow for it. */
  readonly contactS: number;
  /** The bound on the acknowledgement of a change. */
  readonly confirmS: number;
  readonly services: readonly string[];
  readonly classes: readonly string[];
  /** The kinds of trouble that the deployment names itself, with its own figures. */
  readonly troubles: readonly Omit<Trouble, 'at'>[];
};

const coreClass = 'core';
const millisecondsPerSecond = 1000;

const positive = () => number().required().moreThan(0);
const named = () => object({ name: string().required() }).required();
const optionalNumber = () => number().optional();
const optionalText = () => string().optional();

const machineSchema = object({
  class: string().required(),
  count: number().required().integer().min(0),
});

const troubleSchema = object({
  kind: string().required(),
  for_s: optionalNumber(),
  gap_s: optionalNumber(),
  share: optionalNumber(),
  count: optionalNumber(),
  x: optionalNumber(),
  how: optionalText(),
  on: optionalText(),
  service: optionalText(),
  class: optionalText(),
});

const siteSchema = object({
  name: string().required(),
  length_s: positive(),
  contracts: array(string().required()).required(),
  machines: array(machineSchema.required()).required(),
  services: array(named()).required().min(1),
  classes: array(named()).required().min(1),
  troubles: array(troubleSchema.required()).required(),
  timing: object({ catch_up_s: positive() }).required(),
  tolerate: object({ machines: number().required().integer().min(0) }).required(),
  bounds: object({ touch_ms: positive(), ack_ms: positive() }).required(),
}).required();

const nameOf = ({ name }: { readonly name: string }): string => name;

/** Reads what the generator needs of a parsed site file, or lists what is wrong with it. */
export const siteOf = (document: unknown): Either<readonly Fault[], Site> =>
  validate(siteSchema, document).map((file) => ({
    name: file.name,
    lengthS: file.length_s,
    contracts: file.contracts,
    coreMachines: file.machines
      .filter((machine) => machine.class === coreClass)
      .reduce((sum, machine) => sum + machine.count, 0),
    toleratedMachines: file.tolerate.machines,
    syncS: file.timing.catch_up_s,
    contactS: file.bounds.touch_ms / millisecondsPerSecond,
    confirmS: file.bounds.ack_ms / millisecondsPerSecond,
    services: file.services.map(nameOf),
    classes: file.classes.map(nameOf),
    troubles: file.troubles,
  }));
