import { Left, Right, type Either } from 'purify-ts';
import { validate } from '../../common/validate.js';
import type { Fault } from '../../common/fault.js';
import { checkSetup } from '../check/check-setup.js';
import type { Setup } from '../document/setup.js';
import { objectSchema, type SetupObject } from './object-schemas.js';
import { readObjects } from './read-objects.js';

/** A parsed object and the position of its document in the text, counted from 1. */
type ParsedObject = { readonly position: number; readonly object: SetupObject };

const labelOf = ({ position, object }: ParsedObject): string =>
  `document ${position} (${object.kind} ${object.metadata.name})`;

/** Parses the documents and validates the common fields of every object. */
const parseObjects = (text: string): Either<readonly Fault[], readonly ParsedObject[]> =>
  readObjects(text).chain((documents) => {
    const faults: Fault[] = [];
    const parsedObjects: ParsedObject[] = [];
    for (const { position, value } of documents)
      validate(objectSchema, value)
        .ifLeft((found) =>
          faults.push(
            ...found.map(({ path, message }) => ({
              path: `document ${position}${path === '' ? '' : `: ${path}`}`,
              message,
            })),
          ),
        )
        .ifRight((object) => parsedObjects.push({ position, object }));
    return faults.length === 0 ? Right(parsedObjects) : Left(faults);
  });

const fieldPattern = /^(services|tiers|rules|tenants)\[(\d+)\]\.?(.*)$/;

/** Translates the path of a fault in the converted setup to the document and path of its source object. */
const sourceFault = (
  { path, message }: Fault,
  fleet: ParsedObject,
  lists: Readonly<Record<string, readonly ParsedObject[]>>,
): Fault => {
  const [, list = '', index = '', field = ''] = fieldPattern.exec(path) ?? [];
  const source = lists[list]?.[Number(index)] ?? fleet;
  const localPath = lists[list] === undefined ? path : field;
  const sourcePath =
    localPath === 'name' || localPath === 'kind' ? 'metadata.name' : localPath === '' ? 'spec' : `spec.${localPath}`;
  return { path: `${labelOf(source)}: ${sourcePath}`, message };
};

/** Converts Kubernetes-style objects to a validated setup; every fault has its document and path. */
export const convertObjects = (text: string): Either<readonly Fault[], Setup> =>
  parseObjects(text).chain((objects) => {
    const objectsOf = (kind: SetupObject['kind']): readonly ParsedObject[] =>
      objects.filter(({ object }) => object.kind === kind);
    const [fleet, ...otherFleets] = objectsOf('Fleet');
    if (fleet === undefined)
      return Left([{ path: 'documents', message: 'exactly one object of kind Fleet is required' }]);
    if (otherFleets.length > 0)
      return Left(
        otherFleets.map((other) => ({
          path: labelOf(other),
          message: `duplicate Fleet: the first is ${labelOf(fleet)}`,
        })),
      );
    const lists = {
      services: objectsOf('Service'),
      tiers: objectsOf('Tier'),
      rules: objectsOf('Rule'),
      tenants: objectsOf('Tenant'),
    };
    const reservedFieldFaults = objects.flatMap((parsed) =>
      [
        'name',
        ...(parsed.object.kind === 'Rule' ? ['kind'] : []),
        ...(parsed.object.kind === 'Fleet' ? Object.keys(lists) : []),
      ]
        .filter((field) => Object.hasOwn(parsed.object.spec, field))
        .map((field) => ({
          path: `${labelOf(parsed)}: spec.${field}`,
          message: 'reserved field: it is set from metadata.name or from separate objects',
        })),
    );
    if (reservedFieldFaults.length > 0) return Left(reservedFieldFaults);
    return checkSetup({
      ...fleet.object.spec,
      name: fleet.object.metadata.name,
      services: lists.services.map(({ object }) => ({ ...object.spec, name: object.metadata.name })),
      tiers: lists.tiers.map(({ object }) => ({ ...object.spec, name: object.metadata.name })),
      rules: lists.rules.map(({ object }) => ({ ...object.spec, kind: object.metadata.name })),
      ...(lists.tenants.length === 0
        ? {}
        : { tenants: lists.tenants.map(({ object }) => ({ ...object.spec, name: object.metadata.name })) }),
    }).mapLeft((faults) => faults.map((fault) => sourceFault(fault, fleet, lists)));
  });
