import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { ServerList } from '../../../servers/list/server-list.js';
import type { SetupRecord } from '../../../setup/document/setup-record.js';
import type { Work } from '../../work/work.js';
import type { Prefix } from '../../ring/prefix.js';
import type { FailureCause } from '../../health/server-failures.js';
import type { DeliveryError } from './delivery-error.js';

/** Input of the decision machine. `at` is the node's monotonic time. Members are the names of the trace format. */
export type DecisionEvent =
  /** The name of this node, which offsets its pace slots from those of the other nodes. */
  | { readonly type: 'node'; readonly at: Micros; readonly node: string }
  /** The process was suspended, or its clock jumped, for `spanUs` up to now; the platform time does not advance by it. */
  | { readonly type: 'gap'; readonly at: Micros; readonly spanUs: Micros }
  /** The number of routers believed to be alive, this one included. */
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
      /** The service that was drawn by weight, if the rule splits its traffic. */
      readonly service?: string;
      /** The tier of the tenant, if it overrides that of the rule. */
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
      /** Pieces (chunks of the streamed response) that the client has received so far, over all attempts. */
      readonly pieces: number;
      readonly error: DeliveryError;
      /** The server guarantees that it has not run the request and never will. */
      readonly notRun?: boolean;
      /** The client has received pieces after which no server can be asked to go on. */
      readonly positionUnknown?: boolean;
    }
  | { readonly type: 'done'; readonly at: Micros; readonly exchange: string; readonly attempt: number }
  | { readonly type: 'abandoned'; readonly at: Micros; readonly exchange: string }
  /** Another router has sent a server a prefill. */
  | {
      readonly type: 'work';
      readonly at: Micros;
      readonly server: ServerKey;
      readonly service: string;
      readonly tokens: number;
    }
  /** A server failed, at this or another router. */
  | { readonly type: 'failure'; readonly at: Micros; readonly server: ServerKey; readonly cause: FailureCause }
  /** A server has reported its load, to this or another router. */
  | {
      readonly type: 'load';
      readonly at: Micros;
      readonly server: ServerKey;
      readonly running: number;
      readonly waiting: number;
      readonly slots: number;
    }
  /** A server became unreachable (`dark`) or reachable again (`light`). */
  | { readonly type: 'dark'; readonly at: Micros; readonly server: ServerKey }
  | { readonly type: 'light'; readonly at: Micros; readonly server: ServerKey }
  | { readonly type: 'tick'; readonly at: Micros }
  /** This node is stopping: new exchanges are refused. */
  | { readonly type: 'drain'; readonly at: Micros }
  /** This node is about to end: every exchange without a started response gets its final decision. */
  | { readonly type: 'shutdown'; readonly at: Micros };
