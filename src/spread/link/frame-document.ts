import { serialize } from 'bson';
import { decodeRecord, encodedRecordOf } from '../../setup/delta/encoded-record.js';
import type { RecordDelta } from '../../setup/delta/record-delta.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Frame } from '../frame/frame.js';

/**
 * The documents in which frames travel. A whole configuration stands in them as bytes that are worked out once, and a
 * delta is written out once for all its receivers; every other frame is its own document.
 */
type Fields = Readonly<Record<string, unknown>>;

const knownDeltaDocuments = new WeakMap<RecordDelta, Uint8Array>();

const deltaDocumentOf = (frame: Extract<Frame, { readonly type: 'setup-delta' }>): Uint8Array => {
  const known = knownDeltaDocuments.get(frame.delta);
  if (known !== undefined) return known;
  const document = serialize(frame);
  knownDeltaDocuments.set(frame.delta, document);
  return document;
};

/** Whether the document of a frame holds a whole configuration, which is compressed already. */
export const hasEncodedRecord = (frame: Frame): boolean => frame.type === 'setup' || isRecordReply(frame);

type RecordReply = Extract<Frame, { readonly type: 'reply' }> & {
  readonly reply: { readonly type: 'record'; readonly record: SetupRecord };
};

const isRecordReply = (frame: Frame): frame is RecordReply =>
  frame.type === 'reply' && frame.reply.type === 'record' && frame.reply.record !== undefined;

/** The document of a frame. */
export const documentOf = (frame: Frame): Uint8Array => {
  if (frame.type === 'setup') return serialize({ type: 'setup', record: encodedRecordOf(frame.record) });
  if (frame.type === 'setup-delta') return deltaDocumentOf(frame);
  if (isRecordReply(frame))
    return serialize({ ...frame, reply: { ...frame.reply, record: encodedRecordOf(frame.reply.record) } });
  return serialize(frame);
};

const fieldsOf = (value: unknown): Fields | undefined =>
  typeof value === 'object' && value !== null ? { ...value } : undefined;

/** The same fields with a record in place of its bytes; bytes that hold none stay, for the guard to refuse. */
const withRecord = (fields: Fields): Fields => {
  const { record } = fields;
  return Buffer.isBuffer(record)
    ? decodeRecord(record).caseOf({ Left: () => fields, Right: (decoded) => ({ ...fields, record: decoded }) })
    : fields;
};

/** What stands in a document, with records decoded. */
export const frameIn = (document: unknown): unknown => {
  const fields = fieldsOf(document);
  if (fields?.['type'] === 'setup') return withRecord(fields);
  const reply = fields?.['type'] === 'reply' ? fieldsOf(fields['reply']) : undefined;
  return reply?.['type'] === 'record' ? { ...fields, reply: withRecord(reply) } : document;
};
