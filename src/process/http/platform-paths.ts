import { typedError } from '../../common/typed-error.js';
import { checkList } from '../../servers/list/check-list.js';
import { setupDigestOf } from '../../setup/document/setup-digest.js';
import type { Counters } from '../counters.js';
import type { GossipTask } from '../gossip-task.js';
import type { HttpServer } from './http-server.js';
import { readJsonBody } from './read-body.js';
import { reply, replyError } from './reply.js';

const maxListBytes = 8 << 20;

/** Returns why a process is not ready; undefined when it is. */
export type UnreadyReason = () => string | undefined;

/** Adds the paths of the platform (liveness, readiness, server list), the list of peers, and the gauges of a node. */
export const addPlatformPaths = (
  { app }: HttpServer,
  spread: GossipTask,
  counters: Counters,
  unready: UnreadyReason,
): void => {
  counters.gauge('process.cpuUs', () => process.cpuUsage().user + process.cpuUsage().system);
  counters.gauge('process.memoryBytes', () => process.memoryUsage.rss());
  counters.gauge('partners', () => spread.view().partners.size);
  counters.gauge('setup.revision', () => spread.view().record?.revision ?? 0);
  app.get('/live', (_message, response) => reply(response, 200, { live: true }));
  app.get('/ready', (_message, response) => {
    const cause = unready();
    if (cause === undefined) reply(response, 200, { ready: true });
    else reply(response, 503, { ready: false, cause });
  });
  app.get('/platform/list', (_message, response) => {
    const { list } = spread.view();
    if (list === undefined) replyError(response, 404, typedError('not-found', 'no server list is known yet'));
    else reply(response, 200, list);
  });
  app.put('/platform/list', async (message, response) => {
    const checkedList = await readJsonBody(message, maxListBytes, 'invalid-list').chain((value) =>
      Promise.resolve(
        checkList(value).mapLeft((faults) => typedError('invalid-list', 'the server list is invalid', faults)),
      ),
    );
    checkedList
      .ifLeft((error) => {
        counters.count('lists.invalid');
        replyError(response, error.type === 'oversized-body' ? 413 : 422, error);
      })
      .ifRight((list) => {
        const known = spread.view().list;
        if (known !== undefined && list.version < known.version) {
          counters.count('lists.stale');
          replyError(
            response,
            409,
            typedError(
              'stale-list',
              `version ${known.version} of the server list is known, but the request has version ${list.version}`,
            ),
          );
          return;
        }
        spread.offerList(list);
        reply(response, 200, { version: spread.view().list?.version });
      });
  });
  app.get('/partners', (_message, response) => {
    const view = spread.view();
    reply(response, 200, {
      self: view.self,
      partners: [...view.partners.values()].map(({ partner, heardUs }) => ({ ...partner, ageUs: view.atUs - heardUs })),
      revision: view.record?.revision ?? 0,
      digest: view.record === undefined ? undefined : setupDigestOf(view.record.setup),
      version: view.list?.version ?? 0,
    });
  });
};
