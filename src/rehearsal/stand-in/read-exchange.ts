import type { IncomingMessage } from 'node:http';
import { number, object, string, type InferType } from 'yup';
import { validate } from '../../common/validate.js';
import { readJsonBody } from '../../process/http/read-body.js';

const schema = object({
  exchange: string().required(),
  service: string().required(),
  kind: string().required(),
  opening: string().defined(),
  text: string().defined(),
  fromPiece: number().required(),
}).required();

export type ServerExchange = InferType<typeof schema>;

export const readExchange = async (message: IncomingMessage): Promise<ServerExchange | undefined> =>
  (await readJsonBody(message, 4 << 20, 'bad-exchange'))
    .toMaybe()
    .chain((value) => validate(schema, value).toMaybe())
    .extract();
