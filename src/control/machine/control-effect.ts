import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { KeptRecord } from '../log/kept-record.js';
import type { Member } from '../members/member.js';
import type { Receipt } from './receipt.js';
import type { ControlMessage } from './message.js';
import type { Role } from './role.js';

/** What the control machine wants done. All that is to be kept is synced before anything else happens. */
export type ControlEffect =
  | { readonly type: 'keep'; readonly record: KeptRecord }
  | { readonly type: 'send'; readonly to: string; readonly message: ControlMessage }
  | { readonly type: 'sendTo'; readonly address: string; readonly message: ControlMessage }
  | { readonly type: 'receipt'; readonly ask: string; readonly receipt: Receipt }
  | { readonly type: 'taken'; readonly record: SetupRecord }
  | { readonly type: 'role'; readonly role: Role; readonly term: number; readonly leader: string | undefined }
  | { readonly type: 'members'; readonly members: readonly Member[] };
