import type { Micros } from '../../common/micros.js';
import type { Command } from '../../control/log/command.js';
import type { CoreReply } from '../../control/machine/core-reply.js';
import type { PlainMessage } from '../../control/wire/message-codec.js';
import type { FailureCause } from '../../decision/health/server-failures.js';
import type { ServerLoad } from '../../decision/health/server-load.js';
import type { PolledList } from '../../servers/list/polled-list.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { ReadingStamp } from '../../servers/source/reading-stamp.js';
import type { RecordBase, RecordDelta } from '../../setup/delta/record-delta.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { QuotaReply, QuotaRequest } from '../../quota/quota-messages.js';
import type { MembershipUpdate } from '../peer/membership-update.js';
import type { Peer } from '../peer/peer.js';

/** A message between two processes of the fleet: one BSON document on a TCP link. */
export type Frame =
  | {
      readonly type: 'digest';
      /** The sender's own description; left out once the receiver is known to have it. */
      readonly partner?: Peer;
      readonly incarnation: number;
      readonly revision: number;
      readonly version: number;
      /** The digest of the sender's server list; only polled lists have one. */
      readonly listDigest?: string;
      /** The stamp of the latest complete reading of the platform's list, or of the sender's own while that is recent. */
      readonly read?: ReadingStamp;
      /** A lower bound of the platform's time, as known to the sender. */
      readonly platformUs?: Micros;
      /** Membership updates: recent changes, or with `whole` all that the receiver may lack. */
      readonly partners: readonly MembershipUpdate[];
      /** A hash of the sender's whole membership; two nodes with equal membership have equal hashes. */
      readonly crowd: number;
      /** Whether `partners` is a full synchronization rather than recent changes. */
      readonly whole?: boolean;
      /** The response that the sender expects: a digest, or one with a full synchronization of membership. */
      readonly asks?: 'digest' | 'whole';
      /** The sender's membership hashes per bucket; a full synchronization then covers only the buckets that differ. */
      readonly crowds?: readonly number[];
      /** The sender lacks the receiver's description. */
      readonly unknown?: boolean;
      /** The number of the inquiry that this digest responds to. */
      readonly inquiry?: number;
    }
  /** A pull request: the receiver returns the configuration and the list if its own are newer, and a digest. */
  | {
      readonly type: 'inquire';
      readonly inquiry: number;
      readonly revision: number;
      readonly version: number;
      readonly listDigest?: string;
      /** The configuration that the sender holds, as the base of a delta; without it the receiver sends a whole one. */
      readonly base?: RecordBase;
    }
  /** The sender's whole configuration. */
  | { readonly type: 'setup'; readonly record: SetupRecord }
  /** The difference from a configuration that the receiver holds to the newest one. */
  | { readonly type: 'setup-delta'; readonly delta: RecordDelta }
  /** The sender's server list; of a polled list perhaps only the entries that the receiver lacks. */
  | { readonly type: 'list'; readonly list: ServerList | PolledList }
  /**
   * A Raft message. `to` is the identity of the addressed replica: a control node that restarts without its data at the
   * same address is another replica.
   */
  | { readonly type: 'control'; readonly identity: string; readonly to?: string; readonly message: PlainMessage }
  /** The sender observed a failure of a server. */
  | { readonly type: 'server-failure'; readonly server: string; readonly cause: FailureCause }
  /** A server reported its load to the sender. */
  | ({ readonly type: 'server-load'; readonly server: string } & ServerLoad)
  /** The sender gave a server this number of tokens to prefill. */
  | { readonly type: 'work'; readonly server: string; readonly service: string; readonly tokens: number }
  /** A router requests tokens from a quota store; `ask` is the router's own request number, repeated in the reply. */
  | { readonly type: 'quota-request'; readonly ask: number; readonly request: QuotaRequest }
  | { readonly type: 'quota-reply'; readonly ask: number; readonly reply: QuotaReply }
  /** A request to a control node; the reply repeats `requestId`. */
  | { readonly type: 'request'; readonly requestId: string; readonly request: CoreRequest }
  | { readonly type: 'reply'; readonly requestId: string; readonly reply: CoreReply };

/** A request to the core, the Raft cluster of control nodes; any process may send it. */
export type CoreRequest =
  { readonly type: 'propose'; readonly command: Command } | { readonly type: 'read'; readonly proposal?: string };
