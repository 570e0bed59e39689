import { Left, Right, type Either } from 'purify-ts';
import { checked } from '../../common/checked.js';
import type { Fault } from '../../common/fault.js';
import { checkSetup } from '../check/check-setup.js';
import type { Setup } from '../document/setup.js';
import { objectSchema, type SetupObject } from './object-schemas.js';
import { readObjects } from './read-objects.js';

type Placed = { readonly place: number; readonly made: SetupObject };

const nameOf = ({ place, made }: Placed): string => `document ${place} (${made.kind} ${made.metadata.name})`;

const framed = (text: string): Either<readonly Fault[], readonly Placed[]> =>
  readObjects(text).chain((documents) => {
    const faults: Fault[] = [];
    const placed: Placed[] = [];
    for (const { place, value } of documents)
      checked(objectSchema, value)
        .ifLeft((found) =>
          faults.push(
            ...found.map(({ path, message }) => ({
              path: `document ${place}${path === '' ? '' : `: ${path}`}`,
              message,
            })),
          ),
        )
        .ifRight((made) => placed.push({ place, made }));
    return faults.length === 0 ? Right(placed) : Left(faults);
  });

const fieldForm = /^(services|tiers|rules|tenants)\[(\d+)\]\.?(.*)$/;

/** Says of a fault of the whole setup in which document and at which path it stands. */
const placedFault = (
  { path, message }: Fault,
  fleet: Placed,
  lists: Readonly<Record<string, readonly Placed[]>>,
): Fault => {
  const [, list = '', index = '', field = ''] = fieldForm.exec(path) ?? [];
  const own = lists[list]?.[Number(index)] ?? fleet;
  const ownPath = lists[list] === undefined ? path : field;
  const named =
    ownPath === 'name' || ownPath === 'kind' ? 'metadata.name' : ownPath === '' ? 'spec' : `spec.${ownPath}`;
  return { path: `${nameOf(own)}: ${named}`, message };
};

/** Makes a checked setup of Kubernetes-style objects; every fault is named by document and path. */
export const convertObjects = (text: string): Either<readonly Fault[], Setup> =>
  framed(text).chain((objects) => {
    const of = (kind: SetupObject['kind']): readonly Placed[] => objects.filter(({ made }) => made.kind === kind);
    const [fleet, ...otherFleets] = of('Fleet');
    if (fleet === undefined) return Left([{ path: 'documents', message: 'one object must be of kind Fleet' }]);
    if (otherFleets.length > 0)
      return Left(
        otherFleets.map((other) => ({ path: nameOf(other), message: `there is a Fleet already: ${nameOf(fleet)}` })),
      );
    const lists = { services: of('Service'), tiers: of('Tier'), rules: of('Rule'), tenants: of('Tenant') };
    const reserved = objects.flatMap((placed) =>
      [
        'name',
        ...(placed.made.kind === 'Rule' ? ['kind'] : []),
        ...(placed.made.kind === 'Fleet' ? Object.keys(lists) : []),
      ]
        .filter((field) => Object.hasOwn(placed.made.spec, field))
        .map((field) => ({
          path: `${nameOf(placed)}: spec.${field}`,
          message: 'this is told by metadata.name, or by objects of its own',
        })),
    );
    if (reserved.length > 0) return Left(reserved);
    return checkSetup({
      ...fleet.made.spec,
      name: fleet.made.metadata.name,
      services: lists.services.map(({ made }) => ({ ...made.spec, name: made.metadata.name })),
      tiers: lists.tiers.map(({ made }) => ({ ...made.spec, name: made.metadata.name })),
      rules: lists.rules.map(({ made }) => ({ ...made.spec, kind: made.metadata.name })),
      ...(lists.tenants.length === 0
        ? {}
        : { tenants: lists.tenants.map(({ made }) => ({ ...made.spec, name: made.metadata.name })) }),
    }).mapLeft((faults) => faults.map((fault) => placedFault(fault, fleet, lists)));
  });
