import { setupOfDocument } from '../../platform/operator/setup-of-document.js';
import { checkSetup } from '../../src/setup/check/check-setup.js';
import { recordDigestOf } from '../../src/setup/delta/record-digest.js';
import type { SetupRecord } from '../../src/setup/document/setup-record.js';
import { matchRule } from '../../src/setup/match/rule-index.js';
import { frameBytesOf, readFrame } from '../../src/spread/link/wire-format.js';
import { grownDocument, retryLimits } from '../platform/documents.js';

/** Milliseconds of processor that each step of a configuration's way takes, the first time in a process and once more. */
export type RecordCost = { readonly step: string; readonly firstMillis: number; readonly nextMillis: number };

const lookUps = 1_000;

const processorMillis = (): number => {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1_000;
};

const timed = (act: () => void): number => {
  const beginMillis = processorMillis();
  act();
  return processorMillis() - beginMillis;
};

const costOf = (step: string, act: () => void): RecordCost => ({
  step,
  firstMillis: timed(act),
  nextMillis: timed(act),
});

/** The record of a document with so many routes, as the core would have it. */
const recordOf = (routes: number): SetupRecord => {
  const document = grownDocument(routes);
  const { version, setup } = setupOfDocument(document, retryLimits).unsafeCoerce();
  return {
    revision: 1,
    takenAtUs: 0,
    setup,
    original: { version, text: JSON.stringify(document) },
    epochs: [{ sinceUs: 0, warmup: setup.warmup }],
  };
};

/** What a configuration costs on its way: checked by a core machine, encoded, decoded, digested and looked up by a router. */
export const recordCosts = (routes: number): readonly RecordCost[] => {
  const document = grownDocument(routes);
  const checked = costOf('document checked and made a setup', () => void setupOfDocument(document, retryLimits));
  const record = recordOf(routes);
  const setupChecked = costOf('setup checked', () => void checkSetup(record.setup));
  const encoded = costOf('encoded', () => void frameBytesOf({ type: 'setup', record }));
  const bytes = frameBytesOf({ type: 'setup', record });
  const decoded = costOf('decoded', () => void readFrame(bytes));
  const digested = costOf('digested', () => void recordDigestOf(record));
  const lookedUp = costOf(`looked up ${lookUps} times`, () => {
    for (let place = 0; place < lookUps; place += 1) matchRule(record.setup, 'ficu95.example', `/p${place % routes}/x`);
  });
  return [checked, setupChecked, encoded, decoded, digested, lookedUp];
};
