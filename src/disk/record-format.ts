import { crc32 } from 'node:zlib';

/** A record as it lies in a file: its place in the file's generation, and its bytes. */
export type DiskRecord = {
  readonly generation: number;
  readonly sequence: number;
  readonly payload: Buffer;
};

export const recordHeadBytes = 16;
/** The slot of the head record at the start of a file. */
export const headSlotBytes = 64;
export const alignBytes = 8;
/** The head of a file: its first slot of 64 bytes, then two slots for the mark of what is synced. */
export const firstRecordOffset = 192;

/** What stands in the head of each ring file. The version changes with any change of the ring's or the records' form. */
export const ringHead = Buffer.from('ledgehill ring 2');

export const paddedLength = (payloadLength: number): number =>
  Math.ceil((recordHeadBytes + payloadLength) / alignBytes) * alignBytes;

export const encodeRecord = (generation: number, sequence: number, payload: Uint8Array): Buffer => {
  const bytes = Buffer.alloc(paddedLength(payload.length));
  bytes.writeUInt32LE(payload.length, 0);
  bytes.writeUInt32LE(generation, 4);
  bytes.writeUInt32LE(sequence, 8);
  bytes.set(payload, recordHeadBytes);
  bytes.writeUInt32LE(
    crc32(bytes.subarray(recordHeadBytes, recordHeadBytes + payload.length), crc32(bytes.subarray(0, 12))),
    12,
  );
  return bytes;
};

/** The record at an offset, if all of it is there and its checksum holds. */
export const decodeRecord = (file: Buffer, offset: number): DiskRecord | undefined => {
  if (offset + recordHeadBytes > file.length) return undefined;
  const payloadLength = file.readUInt32LE(offset);
  const endOffset = offset + recordHeadBytes + payloadLength;
  const generation = file.readUInt32LE(offset + 4);
  if (generation === 0 || endOffset > file.length) return undefined;
  const payload = file.subarray(offset + recordHeadBytes, endOffset);
  const checksum = crc32(payload, crc32(file.subarray(offset, offset + 12)));
  if (checksum !== file.readUInt32LE(offset + 12)) return undefined;
  return { generation, sequence: file.readUInt32LE(offset + 8), payload: Buffer.from(payload) };
};
