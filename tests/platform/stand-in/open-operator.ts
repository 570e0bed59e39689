import { request } from 'undici';
import { delay } from '../../../src/common/clock/delay.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import { monotonicNow } from '../../../src/common/micros.js';

const firstPauseUs = 100_000;
const mostRedirects = 2;

/** The operator: it moves on to another node when one gives no clear answer, and pauses longer each time. */
export const openOperator = (nodes: readonly string[]) => {
  let turn = 0;

  const call = async (
    method: 'GET' | 'PUT',
    body: string | undefined,
    expected: number | undefined,
  ): Promise<{ readonly status: number; readonly text: string }> => {
    turn += 1;
    let url = `http://${nodes[turn % nodes.length] ?? ''}/ledgehill/config`;
    try {
      for (let redirects = 0; ; redirects += 1) {
        const told = await request(url, {
          method,
          body,
          headers: {
            'content-type': 'application/json',
            ...(expected === undefined ? {} : { 'if-match': String(expected) }),
          },
          signal: AbortSignal.timeout(1_000),
        });
        const text = await told.body.text();
        const { location } = told.headers;
        if (told.statusCode !== 307 || redirects === mostRedirects || typeof location !== 'string')
          return { status: told.statusCode, text };
        url = location;
      }
    } catch {
      return { status: 0, text: '' };
    }
  };

  const persist = async (
    method: 'GET' | 'PUT',
    body: string | undefined,
    expected: number | undefined,
    budgetUs: number,
  ) => {
    const dueUs = monotonicNow() + budgetUs;
    let pauseUs = firstPauseUs;
    let told = await call(method, body, expected);
    while (
      monotonicNow() < dueUs &&
      (told.status === 0 || told.status >= 500 || told.status === 404 || told.status === 408 || told.status === 429)
    ) {
      await delay(monotonicClock, pauseUs);
      pauseUs *= 1.5;
      told = await call(method, body, expected);
    }
    return told;
  };

  return {
    put: (text: string, expected: number, budgetUs = 10_000_000) => persist('PUT', text, expected, budgetUs),
    get: (budgetUs = 4_000_000) => persist('GET', undefined, undefined, budgetUs),
  };
};
