import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { ServerList } from '../../../servers/list/server-list.js';
import type { SetupRecord } from '../../../setup/document/setup-record.js';
import type { Work } from '../../work/work.js';
import type { Prefix } from '../../ring/prefix.js';
import type { FailureCause } from '../../health/server-failures.js';
import type { DeliveryError } from './delivery-error.js';

/** What the decision machine hears. `at` is the node's steady time. */
export type DecisionEvent =
  /** Which node this is; its name shifts its slots against those of the others. */
  | { readonly type: 'node'; readonly at: Micros; readonly node: string }
  /** The node did not run, or its clock jumped, for a span up to now; it does not count as time of the platform. */
  | { readonly type: 'gap'; readonly at: Micros; readonly spanUs: Micros }
  /** How many routers are thought to live, this one among them. */
  | { readonly type: 'fleet'; readonly at: Micros; readonly routers: number }
  | { readonly type: 'setup'; readonly at: Micros; readonly record: SetupRecord }
  | { readonly type: 'list'; readonly at: Micros; readonly list: ServerList }
  | { readonly type: 'time'; readonly at: Micros; readonly platformUs: Micros }
  | {
      readonly type: 'exchange';
      readonly at: Micros;
      readonly exchange: string;
      readonly kind: string;
      readonly prefix: Prefix;
      readonly budgetUs?: Micros;
      /** The service that its rule has drawn for it, where the rule is split. */
      readonly service?: string;
      /** The tier of its tenant, where that takes the place of its rule's. */
      readonly tier?: string;
      readonly work?: Work;
    }
  | { readonly type: 'sent'; readonly at: Micros; readonly exchange: string; readonly attempt: number }
  | { readonly type: 'firstPiece'; readonly at: Micros; readonly exchange: string; readonly attempt: number }
  | {
      readonly type: 'failed';
      readonly at: Micros;
      readonly exchange: string;
      readonly attempt: number;
      readonly sent: boolean;
      /** How many pieces the caller has been given so far, over all tries. */
      readonly pieces: number;
      readonly error: DeliveryError;
      /** The server vouches that it did not run it and never will. */
      readonly notRun?: boolean;
    }
  | { readonly type: 'done'; readonly at: Micros; readonly exchange: string; readonly attempt: number }
  | { readonly type: 'abandoned'; readonly at: Micros; readonly exchange: string }
  /** Another node has given a server something to read. */
  | {
      readonly type: 'work';
      readonly at: Micros;
      readonly server: ServerKey;
      readonly service: string;
      readonly tokens: number;
    }
  /** A server failed, here or at another router. */
  | { readonly type: 'failure'; readonly at: Micros; readonly server: ServerKey; readonly cause: FailureCause }
  /** A server has told its load, here or to another router. */
  | {
      readonly type: 'load';
      readonly at: Micros;
      readonly server: ServerKey;
      readonly running: number;
      readonly waiting: number;
      readonly slots: number;
    }
  | { readonly type: 'dark'; readonly at: Micros; readonly server: ServerKey }
  | { readonly type: 'light'; readonly at: Micros; readonly server: ServerKey }
  | { readonly type: 'tick'; readonly at: Micros }
  | { readonly type: 'drain'; readonly at: Micros };
