// The operator of the users' page: it moves on to another node after a failure, a 5xx or a second of silence, with a
// pause that grows; a call with no clear answer is sent again as it was.
import { request } from 'node:http';
import { pause, trace } from './fleet.mjs';

const clear = new Set([200, 400, 409, 412, 413, 422]);

export const call = (node, method, body, base, silenceMs = 1_000) =>
  new Promise((settle) => {
    const [host, port] = node.split(':');
    const what = `${method}${body === undefined ? '' : ` ver ${/^\{"ver":(\d+)/.exec(body)?.[1]} on ${base}`}`;
    trace(`sent: ${what} to ${node}`);
    const resolve = (told) => {
      const found = method === 'GET' && told.status === 200 ? `, ver ${/^\{"ver":(\d+)/.exec(told.text)?.[1]}` : '';
      trace(`answered: ${what} by ${node}: ${told.status === 0 ? 'no answer' : told.status}${found}`);
      settle(told);
    };
    const sent = request(
      {
        host,
        port,
        method,
        path: '/ledgehill/config',
        agent: false,
        headers: {
          ...(body === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }),
          ...(base === undefined ? {} : { 'if-match': String(base) }),
        },
      },
      (answer) => {
        const chunks = [];
        answer.on('data', (chunk) => chunks.push(chunk));
        answer.on('end', () => resolve({ status: answer.statusCode, text: Buffer.concat(chunks).toString('utf8') }));
        answer.on('error', () => resolve({ status: 0, text: '' }));
      },
    );
    const timer = setTimeout(() => sent.destroy(), silenceMs);
    sent.on('close', () => clearTimeout(timer));
    sent.on('error', () => resolve({ status: 0, text: '' }));
    sent.end(body);
  });

export const openOperator = (nodes) => {
  let turn = 0;
  const persist = async (method, body, base, budgetMs) => {
    const dueMs = Date.now() + budgetMs;
    let pauseMs = 50;
    for (;;) {
      const told = await call(nodes[turn % nodes.length], method, body, base);
      if (clear.has(told.status) || Date.now() >= dueMs) return told;
      turn += 1;
      await pause(pauseMs);
      pauseMs = Math.min(1_000, pauseMs * 1.5);
    }
  };
  return {
    put: (text, base, budgetMs = 10_000) => persist('PUT', text, base, budgetMs),
    get: (budgetMs = 4_000) => persist('GET', undefined, undefined, budgetMs),
  };
};
