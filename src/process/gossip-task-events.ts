import type { Micros } from '../common/micros.js';
import type { ServerList } from '../servers/list/server-list.js';
import type { SetupRecord } from '../setup/document/setup-record.js';
import type { Frame } from '../spread/frame/frame.js';

/** The events of the gossip task, for the other tasks of the process. */
export type GossipTaskEvents = {
  readonly setup: [record: SetupRecord];
  readonly list: [list: ServerList];
  /** A peer has reported a complete reading of the platform's server list. */
  readonly read: [by: string, ageUs: Micros];
  /** The lower bound of the platform's time has risen. */
  readonly time: [platformUs: Micros];
  /** How many routers share the limits of the fleet, including those declared dead and not yet forgotten. */
  readonly routers: [routers: number];
  readonly refreshed: [];
  readonly control: [from: string, frame: Extract<Frame, { readonly type: 'control' }>];
  readonly request: [from: string, frame: Extract<Frame, { readonly type: 'request' }>];
  readonly work: [frame: Extract<Frame, { readonly type: 'work' }>];
  readonly serverFailure: [frame: Extract<Frame, { readonly type: 'server-failure' }>];
  readonly serverLoad: [frame: Extract<Frame, { readonly type: 'server-load' }>];
  readonly quotaRequest: [from: string, frame: Extract<Frame, { readonly type: 'quota-request' }>];
  readonly quotaReply: [from: string, frame: Extract<Frame, { readonly type: 'quota-reply' }>];
  readonly reply: [from: string, frame: Extract<Frame, { readonly type: 'reply' }>];
};
