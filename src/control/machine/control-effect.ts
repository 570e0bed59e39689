import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { DurableRecord } from '../log/durable-record.js';
import type { Member } from '../members/member.js';
import type { CoreReply } from './core-reply.js';
import type { ControlMessage } from './message.js';
import type { Role } from './role.js';

/**
 * What the caller of the control state machine has to do. All records of a step are synced to disk before any other
 * effect of the step is executed. `send` addresses a member by its identity, `sendTo` a node by its address; `taken`
 * reports a newly committed setup.
 */
export type ControlEffect =
  | { readonly type: 'persist'; readonly record: DurableRecord }
  | { readonly type: 'send'; readonly to: string; readonly message: ControlMessage }
  | { readonly type: 'sendTo'; readonly address: string; readonly message: ControlMessage }
  | { readonly type: 'reply'; readonly requestId: string; readonly reply: CoreReply }
  | { readonly type: 'taken'; readonly record: SetupRecord }
  | { readonly type: 'role'; readonly role: Role; readonly term: number; readonly leader: string | undefined }
  | { readonly type: 'members'; readonly members: readonly Member[] };
