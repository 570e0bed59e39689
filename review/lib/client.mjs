// One try of a client on a connection of its own. It reads at no more than `bytesPerMs`, where that is given.
import { randomBytes } from 'node:crypto';
import { request } from 'node:http';
import { trace } from './fleet.mjs';

export const ask = ({ node, path, host = 'archive.example', body = 'x', budgetMs = 12_000, bytesPerMs, headers = {}, onHead }) =>
  new Promise((resolve) => {
    const attempt = randomBytes(8).toString('hex');
    const [address, port] = node.split(':');
    const sentMs = Date.now();
    trace(`sent: ${attempt} POST ${path}, ${Buffer.byteLength(body)} bytes, to ${node}`);
    let bytes = 0;
    let status = 0;
    let seal;
    let wanted;
    const chunks = [];
    const end = (how) => {
      clearTimeout(timer);
      trace(`answered: ${attempt} by ${node}: ${status === 0 ? how : `${status}, ${how}, ${bytes} bytes, seal ${seal ?? 'none'}`}`);
      resolve({ attempt, status, seal, how, bytes, wanted, tookMs: Date.now() - sentMs, text: () => Buffer.concat(chunks).toString('latin1') });
      sent.destroy();
    };
    const sent = request(
      {
        host: address,
        port,
        method: 'POST',
        path,
        agent: false,
        headers: {
          host,
          'Ledgehill-Attempt-Id': attempt,
          'Ledgehill-Budget-Ms': String(budgetMs),
          'content-length': Buffer.byteLength(body),
          ...headers,
        },
      },
      (answer) => {
        status = answer.statusCode;
        seal = answer.headers['ledgehill-server-seal'];
        wanted = answer.headers['content-length'] === undefined ? undefined : Number(answer.headers['content-length']);
        onHead?.(attempt);
        answer.on('data', (chunk) => {
          bytes += chunk.length;
          if (bytesPerMs === undefined) {
            chunks.push(chunk);
            return;
          }
          answer.pause();
          setTimeout(() => answer.resume(), chunk.length / bytesPerMs);
        });
        answer.on('end', () => end(answer.complete ? 'whole' : 'cut'));
        answer.on('error', () => end('cut'));
      },
    );
    const timer = setTimeout(() => end('deadline'), budgetMs);
    sent.on('error', () => end(status === 0 ? 'no answer' : 'cut'));
    sent.end(body);
  });
