import { serialize } from 'bson';
import { decodeRecord, encodedRecordOf } from '../../setup/delta/encoded-record.js';
import type { RecordDelta } from '../../setup/delta/record-delta.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Frame } from '../frame/frame.js';

type Fields = Readonly<Record<string, unknown>>;

/** A delta goes to many receivers and is serialized once for all of them. */
const deltaDocuments = new WeakMap<RecordDelta, Uint8Array>();

const deltaDocumentOf = (frame: Extract<Frame, { readonly type: 'setup-delta' }>): Uint8Array => {
  const cached = deltaDocuments.get(frame.delta);
  if (cached !== undefined) return cached;
  const document = serialize(frame);
  deltaDocuments.set(frame.delta, document);
  return document;
};

/** Whether the document of a frame contains a whole configuration, which is already compressed. */
export const hasEncodedRecord = (frame: Frame): boolean => frame.type === 'setup' || isRecordReply(frame);

type RecordReply = Extract<Frame, { readonly type: 'reply' }> & {
  readonly reply: { readonly type: 'record'; readonly record: SetupRecord };
};

const isRecordReply = (frame: Frame): frame is RecordReply =>
  frame.type === 'reply' && frame.reply.type === 'record' && frame.reply.record !== undefined;

/**
 * The BSON document of a frame. A whole configuration is embedded as bytes that are encoded once per record; a delta is
 * serialized once for all its receivers.
 */
export const documentOf = (frame: Frame): Uint8Array => {
  if (frame.type === 'setup') return serialize({ type: 'setup', record: encodedRecordOf(frame.record) });
  if (frame.type === 'setup-delta') return deltaDocumentOf(frame);
  if (isRecordReply(frame))
    return serialize({ ...frame, reply: { ...frame.reply, record: encodedRecordOf(frame.reply.record) } });
  return serialize(frame);
};

const fieldsOf = (value: unknown): Fields | undefined =>
  typeof value === 'object' && value !== null ? { ...value } : undefined;

/** Decodes the record of a document. Bytes that do not decode are left as they are, and the frame guard rejects them. */
const decodeRecordField = (fields: Fields): Fields => {
  const { record } = fields;
  return Buffer.isBuffer(record)
    ? decodeRecord(record).caseOf({ Left: () => fields, Right: (decoded) => ({ ...fields, record: decoded }) })
    : fields;
};

/** The frame in a document, with its record decoded; not yet validated. */
export const frameIn = (document: unknown): unknown => {
  const fields = fieldsOf(document);
  if (fields?.['type'] === 'setup') return decodeRecordField(fields);
  const reply = fields?.['type'] === 'reply' ? fieldsOf(fields['reply']) : undefined;
  return reply?.['type'] === 'record' ? { ...fields, reply: decodeRecordField(reply) } : document;
};
