import type { QuotaStoreTask } from '../control/quota-store-task.js';
import type { HttpServer } from './http-server.js';
import { reply } from './reply.js';

/** Adds the path that shows operators the level of each tenant's quota bucket on this node. */
export const addQuotaPaths = ({ app }: HttpServer, quotas: QuotaStoreTask): void => {
  app.get('/operator/quotas', (_message, response) => reply(response, 200, { quotas: quotas.levels() }));
};
