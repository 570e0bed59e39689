import type { Micros } from '../../common/micros.js';
import type { Command } from '../../control/log/command.js';
import type { CoreReply } from '../../control/machine/core-reply.js';
import type { PlainMessage } from '../../control/wire/message-codec.js';
import type { FailureCause } from '../../decision/health/server-failures.js';
import type { ServerLoad } from '../../decision/health/server-load.js';
import type { AskedList } from '../../servers/list/asked-list.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { ReadMark } from '../../servers/source/read-mark.js';
import type { RecordBase, RecordDelta } from '../../setup/delta/record-delta.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { QuotaReply, QuotaRequest } from '../../quota/quota-grant.js';
import type { PartnerNews } from '../partner/partner-news.js';
import type { Partner } from '../partner/partner.js';

/** What one process says to another: one BSON document on a TCP link. */
export type Frame =
  | {
      readonly type: 'digest';
      /** Who the sender is; only while the receiver may not know. */
      readonly partner?: Partner;
      readonly incarnation: number;
      readonly revision: number;
      readonly version: number;
      /** What an asked list says, in a few characters; none for a told list. */
      readonly listDigest?: string;
      /** The freshest whole reading that the sender knows, or its own while that is fresh. */
      readonly read?: ReadMark;
      readonly platformUs?: Micros;
      /** Changes of membership, or the whole of it. */
      readonly partners: readonly PartnerNews[];
      /** What the sender's whole membership is, in one figure. */
      readonly crowd: number;
      /** Whether `partners` is all that the receiver may lack. */
      readonly whole?: boolean;
      /** What is asked back: a digest, or one with the whole membership. */
      readonly asks?: 'digest' | 'whole';
      /** The sender's membership in parts; what is asked for is the parts that differ. */
      readonly crowds?: readonly number[];
      /** The sender does not know who the receiver is. */
      readonly unknown?: boolean;
      /** The number of the inquiry that this answers. */
      readonly inquiry?: number;
    }
  | {
      readonly type: 'inquire';
      readonly inquiry: number;
      readonly revision: number;
      readonly version: number;
      readonly listDigest?: string;
      /** The configuration that the sender holds, on which a delta may build; none asks for the whole. */
      readonly base?: RecordBase;
    }
  | { readonly type: 'setup'; readonly record: SetupRecord }
  /** What makes the newest configuration of one that the receiver holds. */
  | { readonly type: 'setup-delta'; readonly delta: RecordDelta }
  | { readonly type: 'list'; readonly list: ServerList | AskedList }
  /** `to` names the identity that is meant; a machine that came back empty at the same address is another one. */
  | { readonly type: 'control'; readonly identity: string; readonly to?: string; readonly message: PlainMessage }
  /** A server failed at the sender. */
  | { readonly type: 'server-failure'; readonly server: string; readonly cause: FailureCause }
  /** A server has told the sender its load. */
  | ({ readonly type: 'server-load'; readonly server: string } & ServerLoad)
  /** A server was given something to read, so many tokens. */
  | { readonly type: 'work'; readonly server: string; readonly service: string; readonly tokens: number }
  /** A router asks a store of quotas for tokens; `ask` is the router's own number for it. */
  | { readonly type: 'quota-request'; readonly ask: number; readonly request: QuotaRequest }
  | { readonly type: 'quota-reply'; readonly ask: number; readonly reply: QuotaReply }
  | { readonly type: 'request'; readonly requestId: string; readonly request: CoreRequest }
  | { readonly type: 'reply'; readonly requestId: string; readonly reply: CoreReply };

/** What any process may ask the core. */
export type CoreRequest =
  { readonly type: 'propose'; readonly command: Command } | { readonly type: 'read'; readonly proposal?: string };
