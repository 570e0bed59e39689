import { EitherAsync } from 'purify-ts';
import { request } from 'undici';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';

/** An HTTP answer with its JSON body. */
export type HttpAnswer = {
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

const budgetMillis = 10_000;

/** Calls a node over HTTP. */
export const httpCall = ({ method, address, path, headers, body }: HttpCall): EitherAsync<TypedError, HttpAnswer> =>
  EitherAsync(async ({ throwE }) => {
    try {
      const answer = await request(`http://${address}${path}`, {
        method,
        headers: { 'content-type': 'application/json', ...headers },
        body,
        signal: AbortSignal.timeout(budgetMillis),
      });
      const parsedBody: unknown = await answer.body.json();
      const etag = answer.headers['etag'];
      return { status: answer.statusCode, etag: typeof etag === 'string' ? etag : undefined, body: parsedBody };
    } catch (thrown) {
      return throwE(typedError('unreachable', `${address}: ${messageOf(thrown)}`));
    }
  });

/** Reads a text from a node over HTTP. */
export const httpText = (address: string, path: string): EitherAsync<TypedError, string> =>
  EitherAsync(async ({ throwE }) => {
    try {
      const answer = await request(`http://${address}${path}`, { signal: AbortSignal.timeout(budgetMillis) });
      const text = await answer.body.text();
      return answer.statusCode === 200 ? text : throwE(typedError('unreachable', `${address}${path}: status ${answer.statusCode}`));
    } catch (thrown) {
      return throwE(typedError('unreachable', `${address}: ${messageOf(thrown)}`));
    }
  });
