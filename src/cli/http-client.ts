import { EitherAsync } from 'purify-ts';
import { request } from 'undici';
import { toMillis, type Micros } from '../common/micros.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';

/** An HTTP response with a JSON body. */
export type HttpResponse = {
  readonly status: number;
  readonly etag: string | undefined;
  readonly body: unknown;
};

/** An HTTP request to the node at an `ip:port` address. */
export type HttpRequest = {
  readonly method: 'GET' | 'PUT' | 'DELETE' | 'POST';
  readonly address: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
};

const timeoutUs: Micros = 10_000_000;

/**
 * Sends a request to a node. Any status is a result; fails with `unreachable` if the connection fails or the body is
 * not JSON.
 */
export const sendRequest = ({
  method,
  address,
  path,
  headers,
  body,
}: HttpRequest): EitherAsync<TypedError, HttpResponse> =>
  EitherAsync(async ({ throwE }) => {
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        headers: { 'content-type': 'application/json', ...headers },
        body,
        signal: AbortSignal.timeout(toMillis(timeoutUs)),
      });
      const json: unknown = await response.body.json();
      const etag = response.headers['etag'];
      return { status: response.statusCode, etag: typeof etag === 'string' ? etag : undefined, body: json };
    } catch (thrown) {
      return throwE(typedError('unreachable', `${address}: ${messageOf(thrown)}`));
    }
  });

/** Fetches a text from a node; fails with `unreachable` for any status but 200. */
export const fetchText = (address: string, path: string): EitherAsync<TypedError, string> =>
  EitherAsync(async ({ throwE }) => {
    try {
      const response = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(toMillis(timeoutUs)) });
      const text = await response.body.text();
      return response.statusCode === 200
        ? text
        : throwE(typedError('unreachable', `${address}${path}: status ${response.statusCode}`));
    } catch (thrown) {
      return throwE(typedError('unreachable', `${address}: ${messageOf(thrown)}`));
    }
  });
