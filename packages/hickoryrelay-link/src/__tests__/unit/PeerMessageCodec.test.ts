import fc from 'fast-check';
import { Packr } from 'msgpackr';
import { describe, expect, it } from 'vitest';
import { RelayError } from 'hickoryrelay/RelayError';

import { decodePeerMessage, encodePeerMessage } from '../../PeerMessageCodec.js';

import type { PeerMessage } from '../../PeerMessages.js';

const PROPERTY_RUNS = 300;
const PEER = 'left';
const receiver = { name: 'right', zone: 'zone-a', incarnation: '0018c0ffee' };

const packr = new Packr({ useRecords: false });

const count = fc.oneof(
  fc.nat({ max: 300 }),
  fc.nat({ max: 70_000 }),
  fc.nat(),
  fc.maxSafeNat().map((value) => Math.floor(value / 4)),
);
const text = fc.string({ maxLength: 40 });
const bytes = fc
  .array(fc.nat({ max: 255 }), { minLength: 1, maxLength: 20 })
  .map((values) => Uint8Array.from(values));
/** Identifiers that share all but the last byte, like those of one instance. */
const sharedPrefixIdentifier = fc
  .tuple(fc.nat({ max: 2 }), fc.nat({ max: 255 }))
  .map(([block, last]) => Uint8Array.of(1, 2, block, last));
const identifier = fc.oneof(sharedPrefixIdentifier, bytes, text);
const record = fc.tuple(
  ...([count, identifier, count, count, count, count, count] as const),
  ...([fc.oneof(fc.constant(0), count), fc.oneof(fc.constant(0), count)] as const),
);

const runs = fc.array(fc.tuple(count, fc.nat({ max: 1000 }))).map((pairs) => pairs.flat());

const usageMessages: Readonly<Record<string, fc.Arbitrary<PeerMessage>>> = {
  opening: fc.record({
    type: fc.constant('usage-open' as const),
    number: count,
    names: fc.array(fc.tuple(count, text)),
    records: fc.oneof(
      fc.array(record, { maxLength: 40 }),
      // Sequences in one run, which is the usual case.
      fc
        .tuple(count, fc.array(record, { maxLength: 40 }))
        .map(([first, records]) =>
          records.map(([, ...rest], index) => [first + index, ...rest] as [number, ...typeof rest]),
        ),
    ),
  }),
  progress: fc.record(
    {
      type: fc.constant('usage-progress' as const),
      entries: fc.array(fc.tuple(count, count)),
      counted: fc.record({ upTo: count, gaps: runs }),
    },
    { requiredKeys: ['type', 'entries'] },
  ),
  closing: fc.record({
    type: fc.constant('usage-close' as const),
    number: count,
    window: count,
    entries: fc.array(fc.tuple(count, count, count)),
  }),
  acknowledgement: fc.record({
    type: fc.constant('usage-acknowledged' as const),
    incarnation: fc.oneof(fc.constant(receiver.incarnation), text),
    numbers: fc.array(count),
  }),
};

/** Ages and costs are sent as integers, and work in tenths of a second. */
const age = fc.oneof(fc.nat(), fc.constant(Infinity));
const work = fc.nat().map((value) => value * 100);
const name = fc.string({ minLength: 1, maxLength: 40 });
const hexadecimal = fc
  .array(fc.nat({ max: 255 }), { minLength: 1, maxLength: 12 })
  .map((values) => Buffer.from(values).toString('hex'));
const url = fc.oneof(
  fc
    .tuple(fc.array(fc.nat({ max: 300 }), { minLength: 4, maxLength: 4 }), fc.nat({ max: 70_000 }))
    .map(([address, port]) => `ws://${address.join('.')}:${port}`),
  fc.constantFrom('ws://10.0.0.01:7400', 'ws://10.0.0.1:07400', 'ws://host:1', 'ws://[::1]:7400'),
  text,
);
const row = fc.record({
  identity: fc.record({ name, zone: name, incarnation: fc.oneof(hexadecimal, name) }),
  heartbeat: count,
  state: fc.constantFrom('live' as const, 'leaving' as const),
  revision: count,
  viewAgeMilliseconds: age,
  peersUrl: url,
  costs: fc.array(fc.tuple(text, count)),
  work: fc.record({
    prefill: work,
    decode: work,
    classes: fc.array(fc.tuple(fc.nat({ max: 65_535 }), work)),
  }),
});

const digestMessages: Readonly<Record<string, fc.Arbitrary<PeerMessage>>> = {
  heartbeat: fc.record({
    type: fc.constant('heartbeat' as const),
    sequence: count,
    echo: count,
    revision: count,
    configurationTag: fc.nat({ max: 0xff_ff_ff_ff }),
    viewAgeMilliseconds: age,
  }),
  digest: fc.record({
    type: fc.constant('digest' as const),
    rows: fc.array(row, { maxLength: 9 }),
    heartbeats: fc.array(fc.tuple(fc.nat({ max: 0xff_ff_ff_ff }), count)),
  }),
};

const compactMessages = [...Object.entries(usageMessages), ...Object.entries(digestMessages)];

/** Returns the message or the kind of the failure. Any other error fails the test. */
function decodeOrFailureKind(packet: Uint8Array): PeerMessage | string {
  try {
    return decodePeerMessage(packet, PEER, receiver);
  } catch (error) {
    if (!(error instanceof RelayError)) {
      throw error;
    }
    return error.failure.kind;
  }
}

/** Converts each `Buffer` to a plain byte array, so that messages compare equal. */
function normalize(message: PeerMessage): unknown {
  return message.type === 'usage-open'
    ? {
        ...message,
        records: message.records.map(([sequence, request, ...rest]) => [
          ...[sequence, typeof request === 'string' ? request : Uint8Array.from(request)],
          ...rest,
        ]),
      }
    : message;
}

const usageOpenPacket = encodePeerMessage({
  type: 'usage-open',
  number: 7,
  names: [[0, 'account']],
  records: [
    [1, Uint8Array.of(1, 2), 0, 0, 0, 0, 9, 0, 0],
    [2, Uint8Array.of(1, 3), 0, 0, 0, 0, 9, 4, 0],
  ],
});

/** A well-formed `usage-open` message of two records, with some elements replaced. */
function usageOpenWith(replacements: Readonly<Record<number, unknown>>): Uint8Array {
  const elements = packr.unpack(usageOpenPacket) as unknown[];
  return packr.pack(
    elements.map((part, index) => (index in replacements ? replacements[index] : part)),
  );
}

/** A digest of one well-formed row, with some of its elements replaced. */
function digestWith(replacements: Readonly<Record<number, unknown>>): Uint8Array {
  const valid = ['entry', 'zone-a', '01', 1, 0, 1, 1, 'ws://host:1', ['account', 1], [1, 2]];
  const changed = valid.map((part, index) => (index in replacements ? replacements[index] : part));
  return packr.pack([7, [changed], Buffer.alloc(4), [1]]);
}

describe('the codec of peer messages', () => {
  // Guards against a compact encoding that loses or changes content of the message.
  it.each(compactMessages)('round-trips any %s', (kind, arbitrary) => {
    fc.assert(
      fc.property(arbitrary, (message) => {
        const packet = encodePeerMessage(message, receiver);
        expect(normalize(decodePeerMessage(packet, PEER, receiver))).toEqual(normalize(message));
      }),
      { numRuns: PROPERTY_RUNS },
    );
  });

  // Guards against an acknowledgement that the receiver's next incarnation applies to itself.
  it('omits the incarnation only if it is that of the receiver', () => {
    const of = (incarnation: string) =>
      ({ type: 'usage-acknowledged', incarnation, numbers: [5, 9] }) as const;
    const own = encodePeerMessage(of(receiver.incarnation), receiver);
    const other = encodePeerMessage(of('earlier'), receiver);
    expect(own.length).toBeLessThan(other.length);
    expect(decodeOrFailureKind(own)).toEqual(of(receiver.incarnation));
    expect(decodeOrFailureKind(other)).toEqual(of('earlier'));
    expect(() => decodePeerMessage(own, PEER)).toThrow(RelayError);
  });

  // Guards against a truncated or extended packet that is decoded as a valid message.
  it.each(compactMessages)('rejects any %s that is truncated or extended', (kind, arbitrary) => {
    fc.assert(
      fc.property(arbitrary, fc.double({ min: 0, max: 1, noNaN: true }), (message, share) => {
        const packet = encodePeerMessage(message, receiver);
        const length = Math.min(packet.length - 1, Math.floor(share * packet.length));
        expect(decodeOrFailureKind(packet.subarray(0, length))).toBe('protocol-violation');
        expect(decodeOrFailureKind(Uint8Array.of(...packet, 0))).toBe('protocol-violation');
      }),
      { numRuns: PROPERTY_RUNS },
    );
  });

  // Guards against errors of other types, and against messages that no sender can encode.
  it.each(compactMessages)(
    'rejects any corrupted %s or decodes it to a valid message',
    (kind, arbitrary) => {
      fc.assert(
        fc.property(arbitrary, fc.nat(), fc.nat({ max: 255 }), (message, at, value) => {
          const packet = Uint8Array.from(encodePeerMessage(message, receiver));
          packet[at % packet.length] = value;
          const result = decodeOrFailureKind(packet);
          if (typeof result === 'string') {
            expect(result).toBe('protocol-violation');
          } else {
            const again = decodePeerMessage(encodePeerMessage(result, receiver), PEER, receiver);
            expect(normalize(again)).toEqual(normalize(result));
          }
        }),
        { numRuns: PROPERTY_RUNS },
      );
    },
  );

  // Guards against misinterpreting the list of a later version.
  it('rejects unknown layouts', () => {
    for (const layout of [0, 8, 9, 99, -1, 1.5, '1', null, undefined, [1], true]) {
      expect(decodeOrFailureKind(packr.pack([layout, 1, 2, []]))).toBe('protocol-violation');
      expect(decodeOrFailureKind(packr.pack([layout]))).toBe('protocol-violation');
    }
    expect(decodeOrFailureKind(packr.pack([]))).toBe('protocol-violation');
  });

  // Guards against the earlier encoding with field names, which is no longer validated.
  it('rejects compact messages that are sent with field names', () => {
    const entries: never[] = [];
    expect(decodeOrFailureKind(packr.pack({ type: 'usage-progress', entries }))).toBe(
      'protocol-violation',
    );
  });

  it.each<[string, Uint8Array]>([
    ['a number that is not an integer', packr.pack([4, 1.5])],
    ['a negative number', packr.pack([4, -1])],
    ['an additional element', packr.pack([3, 1, 1, [], 1])],
    ['an incarnation that is not text', packr.pack([5, 1, 1])],
    ['a heartbeat without an age', packr.pack([6, 1, 2, 3])],
    ['a heartbeat with a negative age', packr.pack([6, 1, 2, 3, -1])],
    ['a digest with a truncated tag', packr.pack([7, [], Buffer.alloc(3), [1]])],
    ['a digest with an additional tag', packr.pack([7, [], Buffer.alloc(8), [1]])],
    ['a digest with tags that are not bytes', packr.pack([7, [], [1], [1]])],
    ['a row without a state', digestWith({ 4: null })],
    ['a row with an unknown state', digestWith({ 4: 2 })],
    ['a row without a name', digestWith({ 0: '' })],
    ['a row with an empty incarnation', digestWith({ 2: new Uint8Array(0) })],
    ['a row with a truncated address', digestWith({ 7: Buffer.alloc(5) })],
    ['a row with an account without a cost', digestWith({ 8: ['account'] })],
    ['a row with a cost before its account', digestWith({ 8: [1, 'account'] })],
    ['a row with a cost that is not an integer', digestWith({ 8: ['account', 0.5] })],
    ['a row with an age that is not an integer', digestWith({ 6: 0.5 })],
    ['a row with work beyond exact numbers', digestWith({ 9: [2 ** 50, 2] })],
    ['a row with a class without a total', digestWith({ 9: [1, 2, 3] })],
    ['a usage-close message truncated inside a row', packr.pack([3, 1, 1, [1, 2]])],
    ['a usage-close message with a negative sequence', packr.pack([3, 1, 1, [1, 2, 3, -2, 2, 3]])],
    ['a usage-close message with a negative token count', packr.pack([3, 1, 1, [1, -2, 3]])],
    ['a usage-close message with a sequence out of range', packr.pack([3, 1, 1, [2 ** 53, 2, 3]])],
    ['a usage-progress message truncated inside a row', packr.pack([2, [1]])],
    ['a usage-progress message with an empty mark', packr.pack([2, [], []])],
    ['a usage-progress message with gaps truncated inside a run', packr.pack([2, [], [9, 1]])],
    ['a usage-progress message with billions of gaps', packr.pack([2, [], [9, 1, 2 ** 40]])],
    [
      'a usage-statement message with billions of sequences',
      packr.pack({
        ...{ type: 'usage-statement', round: 'one', adopted: [] },
        own: { sequences: [1, 2 ** 40], lines: [] },
      }),
    ],
    ['a usage-open message with a name without an index', usageOpenWith({ 2: ['account', 0] })],
    ['a usage-open message with an index without a name', usageOpenWith({ 2: [0] })],
    ['a usage-open message with fewer sequences than records', usageOpenWith({ 3: [1, 1] })],
    ['a usage-open message with more sequences than records', usageOpenWith({ 3: [1, 3] })],
    ['a usage-open message with a run of billions', usageOpenWith({ 3: [1, 2 ** 40] })],
    ['a usage-open message with an empty run', usageOpenWith({ 3: [1, 0, 0, 2] })],
    ['a usage-open message with a negative sequence', usageOpenWith({ 3: [-1, 2] })],
    ['a usage-open message without prefixes', usageOpenWith({ 4: [] })],
    ['a usage-open message with a text identifier and a last byte', usageOpenWith({ 4: ['text'] })],
    [
      'a usage-open message with a prefix that is too long',
      usageOpenWith({ 4: [new Uint8Array(300)] }),
    ],
    [
      'a usage-open message with an additional last byte',
      usageOpenWith({ 5: Uint8Array.of(1, 2, 3) }),
    ],
    ['a usage-open message with an unknown prefix', usageOpenWith({ 6: [0, 1] })],
    ['a usage-open message with too few prefix indexes', usageOpenWith({ 6: [0] })],
    [
      'a usage-open message truncated inside a row',
      usageOpenWith({ 7: [0, 0, 0, 0, 9, 0, 0, 0, 0] }),
    ],
    ['a usage-open message with a missing row', usageOpenWith({ 7: [0, 0, 0, 0, 9] })],
    ['a usage-open message with totals of an unknown record', usageOpenWith({ 8: [2, 1, 0] })],
    [
      'a usage-open message with two rows of totals for a record',
      usageOpenWith({ 8: [1, 1, 0, 1, 2, 0] }),
    ],
    ['a usage-open message with truncated totals', usageOpenWith({ 8: [1, 1] })],
  ])('rejects %s', (what, packet) => {
    expect(decodeOrFailureKind(usageOpenWith({}))).toMatchObject({ type: 'usage-open', number: 7 });
    expect(decodeOrFailureKind(digestWith({}))).toMatchObject({
      type: 'digest',
      heartbeats: [[0, 1]],
    });
    expect(decodeOrFailureKind(packet)).toBe('protocol-violation');
  });
});
