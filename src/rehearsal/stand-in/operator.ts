import type { Micros } from '../../common/micros.js';
import type { RevisionService } from '../../process/operator/operator-service.js';
import type { OperatorReply } from '../../process/operator/operator-reply.js';
import { setupDigestOf } from '../../setup/document/setup-digest.js';
import type { Setup } from '../../setup/document/setup.js';
import type { History } from '../history/history.js';
import type { PutLater } from '../history/put-later.js';
import type { PutRecord } from '../history/setup-record.js';

/** At which desk a setup is put, and whether it is meant to be refused. */
export type PutHow = { readonly desk?: RevisionService; readonly isFaulty?: boolean };

/** An operator who writes down what it asked and what it was told. */
export type Operator = {
  /** Puts a setup; on the newest revision at that moment where none is expected. */
  readonly put: (setup: Setup, expected: number | undefined, how?: PutHow) => Promise<PutRecord>;
  /** The newest revision as it was read; none when nothing was told. */
  readonly read: () => Promise<number | undefined>;
  /** Asks after every put whose outcome is unknown, or ends the doubt about it. */
  readonly settle: (byWithdrawing: boolean) => Promise<void>;
};

const outcomeOf = (word: OperatorReply): Pick<PutRecord, 'outcome' | 'revision'> => {
  if (word.type === 'decided')
    return word.outcome.type === 'committed'
      ? { outcome: 'taken', revision: word.outcome.revision }
      : { outcome: 'lost-race', revision: undefined };
  if (word.type === 'refused')
    return { outcome: word.error.type === 'invalid-setup' ? 'invalid' : 'refused', revision: undefined };
  return { outcome: 'unknown', revision: undefined };
};

const laterOf = (word: OperatorReply, toldUs: Micros): PutLater | undefined => {
  if (word.type !== 'decided') return undefined;
  const { type, revision } = word.outcome;
  return type === 'committed'
    ? { toldUs, outcome: 'taken', revision }
    : { toldUs, outcome: type === 'cancelled' ? 'withdrawn' : 'lost-race', revision: undefined };
};

export const openOperator = (history: History, now: () => Micros, usualDesk: RevisionService): Operator => {
  let proposals = 0;
  return {
    put: async (setup, expected, { desk = usualDesk, isFaulty = false } = {}) => {
      proposals += 1;
      const proposal = `put-${proposals}`;
      const askedUs = now();
      const word = await desk.put(setup, proposal, expected);
      const record: PutRecord = {
        proposal,
        expected,
        name: setup.name,
        digest: setupDigestOf(setup),
        isFaulty,
        askedUs,
        toldUs: now(),
        ...outcomeOf(word),
      };
      history.puts.push(record);
      return record;
    },
    read: async () => {
      const askedUs = now();
      const word = await usualDesk.read();
      if (word.type !== 'record' && word.type !== 'none') return undefined;
      const revision = word.type === 'record' ? word.record.revision : 0;
      history.reads.push({
        askedUs,
        toldUs: now(),
        revision,
        digest: word.type === 'record' ? setupDigestOf(word.record.setup) : undefined,
      });
      return revision;
    },
    settle: async (byWithdrawing) => {
      for (const put of [...history.puts]) {
        if (put.outcome !== 'unknown' || put.later !== undefined) continue;
        const word = await (byWithdrawing ? usualDesk.withdraw(put.proposal) : usualDesk.ask(put.proposal));
        const later = laterOf(word, now());
        const place = history.puts.indexOf(put);
        if (later !== undefined && place >= 0) history.puts[place] = { ...put, later };
      }
    },
  };
};
