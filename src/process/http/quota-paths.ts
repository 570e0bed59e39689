import type { QuotaStoreTask } from '../control/quota-store-task.js';
import type { HttpServer } from './http-server.js';
import { reply } from './reply.js';

/** What operators read of quotas: how many tokens of each tenant this machine's share of the store has left. */
export const addQuotaPaths = ({ app }: HttpServer, quotas: QuotaStoreTask): void => {
  app.get('/operator/quotas', (_message, response) => reply(response, 200, { quotas: quotas.levels() }));
};
