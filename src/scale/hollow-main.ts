import { calculateObjectSize } from 'bson';
import { array, mixed, object, string } from 'yup';
import { typed, unionGuard } from '../common/union.js';
import { openCounters } from '../process/counters.js';
import { openSpreadTask, type SpreadTask } from '../process/spread-task.js';
import { realSurroundings } from '../process/surroundings/real-surroundings.js';
import type { Frame } from '../spread/frame/frame.js';
import type { PartnerLinks } from '../spread/link/partner-links.js';
import type { HollowReport, HollowWord } from './hollow-word.js';

const partnerSchema = object({
  node: string().required(),
  role: string()
    .required()
    .oneOf(['router', 'control'] as const),
  address: string().required(),
  http: string().required(),
  locality: string().required(),
}).required();

const isWord = unionGuard<HollowWord>({
  begin: object({
    type: typed('begin'),
    nodes: array(partnerSchema).required(),
    seeds: array(string().required()).required(),
  }),
  report: object({ type: typed('report'), extra: mixed() }),
});

const frames = new Map<string, number>();
const bytes = new Map<string, number>();
const tasks: SpreadTask[] = [];

const counted = (links: PartnerLinks): PartnerLinks => ({
  ...links,
  send: (address: string, frame: Frame) => {
    frames.set(frame.type, (frames.get(frame.type) ?? 0) + 1);
    bytes.set(frame.type, (bytes.get(frame.type) ?? 0) + calculateObjectSize({ from: address, frame }));
    links.send(address, frame);
  },
});

const report = (): HollowReport => {
  const views = tasks.map((task) => task.view());
  const { user, system } = process.cpuUsage();
  const least = (figures: readonly number[]): number => Math.min(...figures);
  return {
    nodes: tasks.length,
    cpuUs: user + system,
    memoryBytes: process.memoryUsage.rss(),
    frames: Object.fromEntries(frames),
    bytes: Object.fromEntries(bytes),
    leastRevision: least(views.map(({ record }) => record?.revision ?? 0)),
    leastVersion: least(views.map(({ list }) => list?.version ?? 0)),
    leastPartners: least(views.map(({ partners }) => partners.size)),
    mostPartners: Math.max(...views.map(({ partners }) => partners.size)),
    leastRouters: least(views.map(({ routers }) => routers)),
    mostRouters: Math.max(...views.map(({ routers }) => routers)),
  };
};

process.on('message', (word: unknown) => {
  if (!isWord(word)) return;
  switch (word.type) {
    case 'begin':
      for (const self of word.nodes) {
        const task = openSpreadTask(self, word.seeds, { change: () => undefined }, openCounters(), {
          clock: realSurroundings.clock,
          openPartnerLinks: (address, options) => counted(realSurroundings.openPartnerLinks(address, options)),
        });
        tasks.push(task);
        void task.start();
      }
      return;
    case 'report':
      process.send?.(report());
  }
});
process.on('disconnect', () => process.exit());
