import { EitherAsync } from 'purify-ts';
import { request } from 'undici';
import { toMillis, type Micros } from '../common/micros.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';

/** An HTTP answer with its JSON body. */
export type HttpReceipt = {
  readonly status: number;
  readonly etag: string | undefined;
  readonly body: unknown;
};

export type HttpCall = {
  readonly method: 'GET' | 'PUT' | 'DELETE' | 'POST';
  readonly address: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
};

const budgetUs: Micros = 10_000_000;

/** Calls a node over HTTP. */
export const httpCall = ({ method, address, path, headers, body }: HttpCall): EitherAsync<TypedError, HttpReceipt> =>
  EitherAsync(async ({ throwE }) => {
    try {
      const receipt = await request(`http://${address}${path}`, {
        method,
        headers: { 'content-type': 'application/json', ...headers },
        body,
        signal: AbortSignal.timeout(toMillis(budgetUs)),
      });
      const parsedBody: unknown = await receipt.body.json();
      const etag = receipt.headers['etag'];
      return { status: receipt.statusCode, etag: typeof etag === 'string' ? etag : undefined, body: parsedBody };
    } catch (thrown) {
      return throwE(typedError('unreachable', `${address}: ${messageOf(thrown)}`));
    }
  });

/** Reads a text from a node over HTTP. */
export const httpText = (address: string, path: string): EitherAsync<TypedError, string> =>
  EitherAsync(async ({ throwE }) => {
    try {
      const receipt = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(toMillis(budgetUs)) });
      const text = await receipt.body.text();
      return receipt.statusCode === 200
        ? text
        : throwE(typedError('unreachable', `${address}${path}: status ${receipt.statusCode}`));
    } catch (thrown) {
      return throwE(typedError('unreachable', `${address}: ${messageOf(thrown)}`));
    }
  });
