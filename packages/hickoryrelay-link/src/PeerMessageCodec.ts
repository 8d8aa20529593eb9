import { Packr } from 'msgpackr';
import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { decodeDigestMessage, encodeDigestMessage } from './DigestMessageCodec.js';
import { MessageLayout } from './MessageLayoutConstants.js';
import { decodeUsageMessage, encodeUsageMessage } from './UsageMessageCodec.js';
import { usageMessageSchemas } from './UsageMessageSchemas.js';

import type { InstanceIdentity, PeerMessage } from './PeerMessages.js';

const MAXIMUM_NAME_LENGTH = 128;
const MAXIMUM_LIST_LENGTH = 10_000;

const name = z.string().max(MAXIMUM_NAME_LENGTH);
const count = z.number().int().nonnegative();
const identity = z.strictObject({ name: name.min(1), zone: name.min(1), incarnation: name.min(1) });
const digests = z.array(z.string().max(MAXIMUM_NAME_LENGTH)).max(MAXIMUM_LIST_LENGTH);
const encodedMessage = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('hello'), identity, peersUrl: name, revision: count }),
  z.strictObject({ type: z.literal('configuration-changed'), revision: count }),
  z.strictObject({ type: z.literal('configuration-request'), digests }),
  z.strictObject({
    type: z.literal('configuration-buckets'),
    revision: count,
    digests,
    buckets: z.array(z.tuple([count, z.string()])).max(MAXIMUM_LIST_LENGTH),
  }),
  ...usageMessageSchemas,
  z.strictObject({ type: z.literal('leaving'), identity }),
]);

const packr = new Packr({ useRecords: false });

function toWireFormat(message: PeerMessage, receiver: InstanceIdentity | undefined): object {
  switch (message.type) {
    case 'heartbeat':
    case 'digest':
      return encodeDigestMessage(message);
    case 'usage-open':
    case 'usage-progress':
    case 'usage-close':
    case 'usage-acknowledged':
      return encodeUsageMessage(message, receiver);
    default:
      return message;
  }
}

function fromWireFormat(encoded: unknown, receiver: InstanceIdentity | undefined): PeerMessage {
  if (!Array.isArray(encoded)) {
    return encodedMessage.parse(encoded);
  }
  const isDigest = encoded[0] === MessageLayout.Heartbeat || encoded[0] === MessageLayout.Digest;
  return isDigest ? decodeDigestMessage(encoded) : decodeUsageMessage(encoded, receiver);
}

/**
 * Encodes a message. Frequent messages are encoded as lists, because field names would double their
 * size. If the receiver is given, its own incarnation is omitted from acknowledgements.
 */
export function encodePeerMessage(message: PeerMessage, receiver?: InstanceIdentity): Uint8Array {
  return packr.pack(toWireFormat(message, receiver));
}

/**
 * Decodes and validates a message sent to the receiver. Throws `protocol-violation` if it is
 * malformed or has an unknown layout.
 */
export function decodePeerMessage(
  bytes: Uint8Array,
  peer: string,
  receiver?: InstanceIdentity,
): PeerMessage {
  try {
    return fromWireFormat(packr.unpack(bytes), receiver);
  } catch (error) {
    throw new RelayError(
      { kind: FailureKind.ProtocolViolation, peer, reason: 'malformed message' },
      error,
    );
  }
}
