import { array, boolean, mixed, number, object, string } from 'yup';
import { literalType, unionGuard } from '../../common/union.js';
import { isOriginal, isSetup, isSetupRecord } from '../../setup/check/setup-guard.js';
import type { Command } from '../log/command.js';

const integer = () => number().required().integer();

export const memberSchema = object({
  identity: string().required(),
  address: string().required(),
  voter: boolean().required(),
}).required();

export const isCommand = unionGuard<Command>({
  'start-term': object({ type: literalType('start-term') }),
  members: object({ type: literalType('members'), members: array(memberSchema).required() }),
  setup: object({
    type: literalType('setup'),
    proposal: string().required(),
    expected: integer(),
    setup: mixed(isSetup).required(),
    original: mixed(isOriginal).optional(),
    atUs: integer(),
  }),
  void: object({ type: literalType('void'), proposal: string().required() }),
  restore: object({ type: literalType('restore'), record: mixed(isSetupRecord).required() }),
  claim: object({
    type: literalType('claim'),
    key: string().required(),
    exchange: string().required(),
    atUs: integer(),
  }),
  /** `exchange` may be empty: such a release only drops the expired claims in the bucket of its key. */
  release: object({
    type: literalType('release'),
    key: string().required(),
    exchange: string().defined(),
    atUs: integer(),
  }),
});
