import { Packr } from 'msgpackr';
import { z } from 'zod';
import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';

import { decodedDigest, encodedDigest } from './DigestMessageCodec.js';
import { MessageLayout } from './MessageLayoutConstants.js';
import { decodedUsage, encodedUsage } from './UsageMessageCodec.js';
import { usageMessages } from './UsageMessageSchemas.js';

import type { InstanceIdentity, PeerMessage } from './PeerMessages.js';

const NAME_LENGTH = 128;
const LIST_LENGTH = 10_000;

const name = z.string().max(NAME_LENGTH);
const count = z.number().int().nonnegative();
const identity = z.strictObject({ name: name.min(1), zone: name.min(1), incarnation: name.min(1) });
const digests = z.array(z.string().max(NAME_LENGTH)).max(LIST_LENGTH);
const encodedMessage = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('hello'), identity, peersUrl: name, revision: count }),
  z.strictObject({ type: z.literal('configuration-changed'), revision: count }),
  z.strictObject({ type: z.literal('configuration-request'), digests }),
  z.strictObject({
    type: z.literal('configuration-buckets'),
    revision: count,
    digests,
    buckets: z.array(z.tuple([count, z.string()])).max(LIST_LENGTH),
  }),
  ...usageMessages,
  z.strictObject({ type: z.literal('leaving'), identity }),
]);

const packr = new Packr({ useRecords: false });

function encodedForm(message: PeerMessage, receiver: InstanceIdentity | undefined): object {
  switch (message.type) {
    case 'heartbeat':
    case 'digest':
      return encodedDigest(message);
    case 'usage-open':
    case 'usage-progress':
    case 'usage-close':
    case 'usage-acknowledged':
      return encodedUsage(message, receiver);
    default:
      return message;
  }
}

function decodedForm(encoded: unknown, receiver: InstanceIdentity | undefined): PeerMessage {
  if (!Array.isArray(encoded)) {
    return encodedMessage.parse(encoded);
  }
  const isDigest = encoded[0] === MessageLayout.Heartbeat || encoded[0] === MessageLayout.Digest;
  return isDigest ? decodedDigest(encoded) : decodedUsage(encoded, receiver);
}

/**
 * Encodes a message. The frequent ones are lists, because field names would double their size. What
 * the receiver knows of itself is left out if it is given.
 */
export function encodePeerMessage(message: PeerMessage, receiver?: InstanceIdentity): Uint8Array {
  return packr.pack(encodedForm(message, receiver));
}

/**
 * Decodes and checks a message that came to the receiver. Throws `protocol-violation` if it is
 * malformed or of an unknown layout.
 */
export function decodePeerMessage(
  bytes: Uint8Array,
  peer: string,
  receiver?: InstanceIdentity,
): PeerMessage {
  try {
    return decodedForm(packr.unpack(bytes), receiver);
  } catch (error) {
    throw new RelayError(
      { kind: FailureKind.ProtocolViolation, peer, reason: 'malformed message' },
      error,
    );
  }
}
