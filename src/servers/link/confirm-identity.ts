import { Left, Right, type Either } from 'purify-ts';
import { object, string } from 'yup';
import { checked } from '../../common/checked.js';
import { parseJson } from '../../common/json.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf } from '../list/server-key.js';

const identitySchema = object({
  id: string().required(),
  incarnation: string().required(),
  service: string().required(),
}).required();

/** Whether what answered at an address says that it is the listed server. */
export const confirmIdentity = (server: ListedServer, text: string): Either<TypedError, void> =>
  parseJson(text, 'bad-message')
    .toMaybe()
    .chain((value) => checked(identitySchema, value).toMaybe())
    .filter(
      ({ id, incarnation, service }) =>
        id === server.id && incarnation === server.incarnation && service === server.service,
    )
    .caseOf<Either<TypedError, void>>({
      Just: () => Right(undefined),
      Nothing: () => Left(typedError('bad-message', `${server.address} is not ${serverKeyOf(server)}`)),
    });
