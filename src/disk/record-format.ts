import { crc32 } from 'node:zlib';

/** A record of a ring file: the generation of the file, its sequence number within that generation, and its payload. */
export type DiskRecord = {
  readonly generation: number;
  readonly sequence: number;
  readonly payload: Buffer;
};

/** Payload length, generation, sequence number and CRC-32, four bytes each. */
export const recordHeaderBytes = 16;
/** The size of the file header at the start of a file. */
export const fileHeaderBytes = 64;
/** Records start at multiples of this. */
export const alignBytes = 8;
/** After the file header (64 bytes) and two slots of 64 bytes for the synced mark. */
export const firstRecordOffset = 192;

/**
 * The payload of the file header. The number is the format version; it changes with any change of the on-disk format.
 */
export const ringHeader = Buffer.from('ledgehill ring 2');

/** The size of a record on disk: header and payload, padded to the alignment. */
export const paddedLength = (payloadLength: number): number =>
  Math.ceil((recordHeaderBytes + payloadLength) / alignBytes) * alignBytes;

/** Encodes a record with its checksum, padded to the alignment with zeros. */
export const encodeRecord = (generation: number, sequence: number, payload: Uint8Array): Buffer => {
  const bytes = Buffer.alloc(paddedLength(payload.length));
  bytes.writeUInt32LE(payload.length, 0);
  bytes.writeUInt32LE(generation, 4);
  bytes.writeUInt32LE(sequence, 8);
  bytes.set(payload, recordHeaderBytes);
  bytes.writeUInt32LE(
    crc32(bytes.subarray(recordHeaderBytes, recordHeaderBytes + payload.length), crc32(bytes.subarray(0, 12))),
    12,
  );
  return bytes;
};

/** The record at an offset; undefined if it is incomplete or its checksum does not match. */
export const decodeRecord = (file: Buffer, offset: number): DiskRecord | undefined => {
  if (offset + recordHeaderBytes > file.length) return undefined;
  const payloadLength = file.readUInt32LE(offset);
  const endOffset = offset + recordHeaderBytes + payloadLength;
  const generation = file.readUInt32LE(offset + 4);
  if (generation === 0 || endOffset > file.length) return undefined;
  const payload = file.subarray(offset + recordHeaderBytes, endOffset);
  const checksum = crc32(payload, crc32(file.subarray(offset, offset + 12)));
  if (checksum !== file.readUInt32LE(offset + 12)) return undefined;
  return { generation, sequence: file.readUInt32LE(offset + 8), payload: Buffer.from(payload) };
};
