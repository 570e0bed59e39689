// A small deployment that is ready: three core machines, routers, the platform's list and its servers.
import { get } from 'node:http';
import { documentOf } from './document.mjs';
import { openFleet, pause } from './fleet.mjs';
import { openOperator } from './operator.mjs';
import { openPlatform } from './platform.mjs';
import { openServer } from './server.mjs';

export const isReady = ({ readyz }) =>
  new Promise((resolve) => {
    get(`http://${readyz}/ledgehill/readyz`, { agent: false }, (answer) => {
      answer.resume();
      resolve(answer.statusCode === 200);
    }).on('error', () => resolve(false));
  });

export const openWorld = async ({ note, routers = 2, document = {} }) => {
  const fleet = await openFleet({ routers });
  const servers = [];
  const listed = () => servers.map((server) => server.listed());
  const platform = await openPlatform(fleet.provider, listed);
  let lastHost = 100;
  const operator = openOperator(fleet.controls.map(({ ctl }) => ctl));
  const world = {
    ...fleet,
    operator,
    servers,
    addServer: async (plan) => {
      lastHost += 1;
      const host = `${fleet.network}.${lastHost}`;
      const server = await openServer({ address: `${host}:${await fleet.freePort(host)}`, ...plan });
      servers.push(server);
      return server;
    },
    start: async () => {
      for (const node of [...fleet.controls, ...fleet.routers]) node.start(true);
      const told = await operator.put(documentOf(1, document), 0, 15_000);
      if (told.status !== 200) throw new Error(`the first configuration was not taken but ${told.status}`);
      note('PUT ver 1 on 0 -> 200');
      const dueMs = Date.now() + 15_000;
      while (!(await Promise.all(fleet.routers.map(isReady))).every(Boolean)) {
        if (Date.now() > dueMs) throw new Error('not all routers became ready');
        await pause(100);
      }
      note('all routers are ready');
      await pause(4_000);
    },
    close: async () => {
      for (const server of servers) server.close();
      platform.close();
      await fleet.close();
    },
  };
  return world;
};
