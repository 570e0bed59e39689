import { Left, Right, type Either } from 'purify-ts';
import { object, string } from 'yup';
import { validate } from '../../common/validate.js';
import { parseJson } from '../../common/json.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { ListedServer } from '../list/listed-server.js';
import { serverKeyOf } from '../list/server-key.js';

const identitySchema = object({
  id: string().required(),
  incarnation: string().required(),
  service: string().required(),
}).required();

/** Checks the body of a response to GET /identity against the listed server. Left `bad-message` if it is another server. */
export const verifyIdentity = (server: ListedServer, text: string): Either<TypedError, void> =>
  parseJson(text, 'bad-message')
    .toMaybe()
    .chain((value) => validate(identitySchema, value).toMaybe())
    .filter(
      ({ id, incarnation, service }) =>
        id === server.id && incarnation === server.incarnation && service === server.service,
    )
    .caseOf<Either<TypedError, void>>({
      Just: () => Right(undefined),
      Nothing: () =>
        Left(
          typedError(
            'bad-message',
            `the server at ${server.address} did not identify itself as ${serverKeyOf(server)}`,
          ),
        ),
    });
