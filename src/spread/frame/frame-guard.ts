import { mixed, number, object, string } from 'yup';
import { literalType, unionGuard } from '../../common/union.js';
import type { CoreReply } from '../../control/machine/core-reply.js';
import { isCommand } from '../../control/wire/command-guard.js';
import { isPlainMessage } from '../../control/wire/message-codec.js';
import { isCommandOutcome, isProposalOutcome } from '../../control/wire/outcome-guard.js';
import { isServerList } from '../../servers/list/is-server-list.js';
import { isRecordDelta, isSetupRecord } from '../../setup/check/setup-guard.js';
import { isQuotaReplyFrame, isQuotaRequestFrame } from './quota-guard.js';
import { isDigest } from './digest-guard.js';
import type { Frame, CoreRequest } from './frame.js';

const nonNegativeInteger = () => number().required().integer().min(0);

const isCoreRequest = unionGuard<CoreRequest>({
  propose: object({ type: literalType('propose'), command: mixed(isCommand).required() }),
  read: object({ type: literalType('read'), proposal: string().optional() }),
});

const isCoreReply = unionGuard<CoreReply>({
  applied: object({ type: literalType('applied'), outcome: mixed(isCommandOutcome).required() }),
  record: object({
    type: literalType('record'),
    record: mixed(isSetupRecord).optional().default(undefined),
    outcome: mixed(isProposalOutcome).optional(),
  }),
  'not-leader': object({ type: literalType('not-leader'), leader: string().optional() }),
  undecided: object({ type: literalType('undecided') }),
  'state-full': object({ type: literalType('state-full') }),
});

/** Validates a decoded document from another process as a frame. */
export const isFrame = unionGuard<Frame>({
  digest: mixed(isDigest).required(),
  inquire: object({
    type: literalType('inquire'),
    inquiry: nonNegativeInteger(),
    revision: nonNegativeInteger(),
    version: nonNegativeInteger(),
    listDigest: string(),
    base: object({ revision: nonNegativeInteger(), digest: string().required() }).optional().default(undefined),
  }),
  setup: object({ type: literalType('setup'), record: mixed(isSetupRecord).required() }),
  'setup-delta': object({ type: literalType('setup-delta'), delta: mixed(isRecordDelta).required() }),
  list: object({ type: literalType('list'), list: mixed(isServerList).required() }),
  control: object({
    type: literalType('control'),
    identity: string().required(),
    to: string().optional(),
    message: mixed(isPlainMessage).required(),
  }),
  work: object({
    type: literalType('work'),
    server: string().required(),
    service: string().required(),
    tokens: nonNegativeInteger(),
  }),
  'server-failure': object({
    type: literalType('server-failure'),
    server: string().required(),
    cause: string()
      .required()
      .oneOf(['unreachable', 'failed'] as const),
  }),
  'server-load': object({
    type: literalType('server-load'),
    server: string().required(),
    running: nonNegativeInteger(),
    waiting: nonNegativeInteger(),
    slots: nonNegativeInteger(),
  }),
  'quota-request': mixed(isQuotaRequestFrame).required(),
  'quota-reply': mixed(isQuotaReplyFrame).required(),
  request: object({
    type: literalType('request'),
    requestId: string().required(),
    request: mixed(isCoreRequest).required(),
  }),
  reply: object({ type: literalType('reply'), requestId: string().required(), reply: mixed(isCoreReply).required() }),
});
