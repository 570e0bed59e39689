import { openSegmentedBytes } from '../../common/memory/segmented-bytes.js';

/** A block of an event stream: lines up to and including a blank line. A block without data is not an event. */
export type StreamBlock = {
  /** The bytes as they came, in order. */
  readonly chunks: readonly Uint8Array[];
  readonly hasData: boolean;
  /** The value of the last `id` field, a character for each byte, cut off beyond `maxIdBytes + 1`; undefined without one. */
  readonly id: string | undefined;
};

/** Splits the bytes of a server-sent event stream into blocks, as the HTML standard defines the format. */
export type EventSplitter = {
  readonly put: (bytes: Buffer) => void;
  /** The size of the incomplete block. */
  readonly heldBytes: () => number;
};

/** The longest ID that is read; it has to fit into a header of a request. */
export const maxIdBytes = 4_096;

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const firstOfId = 'id'.charCodeAt(0);
const byteOrderMark = Buffer.from([0xef, 0xbb, 0xbf]);
const dataField = 'data';
const idField = 'id';
/** The part of a line that shows whether it is a data field. */
const maxNameBytes = dataField.length + 1;
const maxIdLineBytes = idField.length + 2 + maxIdBytes + 1;

const isFieldOf = (line: string, lineBytes: number, name: string): boolean =>
  line.startsWith(`${name}:`) || (line === name && lineBytes === name.length);

/** The value of an `id` field; undefined if it has to be ignored. */
const idIn = (line: string): string | undefined => {
  const value = line.slice(idField.length + 1);
  const id = value.startsWith(' ') ? value.slice(1) : value;
  return id.includes('\0') ? undefined : id;
};

/**
 * Opens a splitter, which passes each block to `onBlock` as soon as its last byte has come. Lines end with LF, CR LF or CR. The LF
 * after a CR that ended a block is passed on as a block of its own. A byte order mark is removed if the stream continues another one.
 */
export const openEventSplitter = (isContinuation: boolean, onBlock: (block: StreamBlock) => void): EventSplitter => {
  const held = openSegmentedBytes();
  /** The bytes at the start of the stream that may be a byte order mark; undefined once that is known. */
  let start: Buffer | undefined = Buffer.alloc(0);
  let line = '';
  let lineBytes = 0;
  let endsWithCarriageReturn = false;
  let hasData = false;
  let id: string | undefined;

  const addToLine = (bytes: Buffer, from: number, to: number): void => {
    const isMaybeId = line === '' ? bytes[from] === firstOfId : line.startsWith('i');
    const missingBytes = (isMaybeId ? maxIdLineBytes : maxNameBytes) - line.length;
    if (missingBytes > 0) line += bytes.toString('latin1', from, Math.min(to, from + missingBytes));
    lineBytes += to - from;
  };

  /** Ends the current line; true if it is blank, so that it ends the block. */
  const endLine = (): boolean => {
    const isBlank = lineBytes === 0;
    if (isFieldOf(line, lineBytes, dataField)) hasData = true;
    else if (isFieldOf(line, lineBytes, idField)) id = idIn(line) ?? id;
    line = '';
    lineBytes = 0;
    return isBlank;
  };

  const endBlock = (lastBytes: Buffer): void => {
    const chunks = held.size() === 0 ? [lastBytes] : [...held.take(), lastBytes];
    const block = { chunks, hasData, id };
    hasData = false;
    id = undefined;
    onBlock(block);
  };

  /** Scans a chunk from `firstByte` on. */
  const scan = (bytes: Buffer, firstByte: number): void => {
    const isRestOfLineEnd = endsWithCarriageReturn && bytes[firstByte] === lineFeed;
    endsWithCarriageReturn = false;
    let at = isRestOfLineEnd ? firstByte + 1 : firstByte;
    let blockStart = 0;
    if (isRestOfLineEnd && held.size() === 0) {
      endBlock(bytes.subarray(0, at));
      blockStart = at;
    }
    let nextLineFeed = bytes.indexOf(lineFeed, at);
    let nextReturn = bytes.indexOf(carriageReturn, at);
    while (nextLineFeed >= 0 || nextReturn >= 0) {
      const isReturn = nextReturn >= 0 && (nextLineFeed < 0 || nextReturn < nextLineFeed);
      const lineEnd = isReturn ? nextReturn : nextLineFeed;
      const isPair = isReturn && nextLineFeed === lineEnd + 1;
      addToLine(bytes, at, lineEnd);
      at = lineEnd + (isPair ? 2 : 1);
      endsWithCarriageReturn = isReturn && at === bytes.length && !isPair;
      if (endLine()) {
        endBlock(bytes.subarray(blockStart, at));
        blockStart = at;
      }
      if (nextLineFeed >= 0 && nextLineFeed < at) nextLineFeed = bytes.indexOf(lineFeed, at);
      if (nextReturn >= 0 && nextReturn < at) nextReturn = bytes.indexOf(carriageReturn, at);
    }
    addToLine(bytes, at, bytes.length);
    if (blockStart < bytes.length) held.put(bytes.subarray(blockStart));
  };

  /** Recognises a byte order mark at the start of the stream, which may come in several chunks. */
  const scanStart = (startBytes: Buffer): void => {
    const isMaybeMark =
      startBytes.length < byteOrderMark.length && startBytes.equals(byteOrderMark.subarray(0, startBytes.length));
    start = isMaybeMark ? startBytes : undefined;
    if (isMaybeMark) return;
    const hasMark = startBytes.subarray(0, byteOrderMark.length).equals(byteOrderMark);
    if (hasMark && isContinuation) scan(startBytes.subarray(byteOrderMark.length), 0);
    else scan(startBytes, hasMark ? byteOrderMark.length : 0);
  };

  return {
    put: (bytes) => {
      if (bytes.length === 0) return;
      if (start === undefined) scan(bytes, 0);
      else scanStart(Buffer.concat([start, bytes]));
    },
    heldBytes: () => held.size() + (start?.length ?? 0),
  };
};
