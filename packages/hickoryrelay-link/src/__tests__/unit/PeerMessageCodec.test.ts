import fc from 'fast-check';
import { Packr } from 'msgpackr';
import { describe, expect, it } from 'vitest';
import { RelayError } from 'hickoryrelay/RelayError';

import { decodePeerMessage, encodePeerMessage } from '../../PeerMessageCodec.js';

import type { PeerMessage } from '../../PeerMessages.js';

const RUNS = 300;
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
/** Identifiers that share all but the last byte, as those of one instance do. */
const related = fc
  .tuple(fc.nat({ max: 2 }), fc.nat({ max: 255 }))
  .map(([block, last]) => Uint8Array.of(1, 2, block, last));
const identifier = fc.oneof(related, bytes, text);
const record = fc.tuple(
  ...([count, identifier, count, count, count, count, count] as const),
  ...([fc.oneof(fc.constant(0), count), fc.oneof(fc.constant(0), count)] as const),
);

const runs = fc.array(fc.tuple(count, fc.nat({ max: 1000 }))).map((pairs) => pairs.flat());

const messages: Readonly<Record<string, fc.Arbitrary<PeerMessage>>> = {
  opening: fc.record({
    type: fc.constant('usage-open' as const),
    number: count,
    names: fc.array(fc.tuple(count, text)),
    records: fc.oneof(
      fc.array(record, { maxLength: 40 }),
      // Sequences in one run, as openings have them.
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

/** Ages and costs are sent as whole numbers, and work in tenths of a second. */
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
    viewAgeMilliseconds: age,
  }),
  digest: fc.record({
    type: fc.constant('digest' as const),
    rows: fc.array(row, { maxLength: 9 }),
    heartbeats: fc.array(fc.tuple(fc.nat({ max: 0xff_ff_ff_ff }), count)),
  }),
};

const listed = [...Object.entries(messages), ...Object.entries(digestMessages)];

/** The message, or the kind of the failure; any other error fails the test. */
function decoded(packet: Uint8Array): PeerMessage | string {
  try {
    return decodePeerMessage(packet, PEER, receiver);
  } catch (error) {
    if (!(error instanceof RelayError)) {
      throw error;
    }
    return error.failure.kind;
  }
}

/** A message without the difference between a `Buffer` and other byte arrays. */
function plain(message: PeerMessage): unknown {
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

const opening = encodePeerMessage({
  type: 'usage-open',
  number: 7,
  names: [[0, 'account']],
  records: [
    [1, Uint8Array.of(1, 2), 0, 0, 0, 0, 9, 0, 0],
    [2, Uint8Array.of(1, 3), 0, 0, 0, 0, 9, 4, 0],
  ],
});

/** The parts of a well-formed opening of two records, with some of them replaced. */
function openingWith(parts: Readonly<Record<number, unknown>>): Uint8Array {
  const whole = packr.unpack(opening) as unknown[];
  return packr.pack(whole.map((part, index) => (index in parts ? parts[index] : part)));
}

/** A digest of one well-formed row, with some of its parts replaced. */
function digestWith(parts: Readonly<Record<number, unknown>>): Uint8Array {
  const whole = ['entry', 'zone-a', '01', 1, 0, 1, 1, 'ws://host:1', ['account', 1], [1, 2]];
  const changed = whole.map((part, index) => (index in parts ? parts[index] : part));
  return packr.pack([7, [changed], Buffer.alloc(4), [1]]);
}

describe('the codec of peer messages', () => {
  // Guards against a compact form that loses or changes what the plain object says.
  it.each(listed)('gives back any %s', (kind, arbitrary) => {
    fc.assert(
      fc.property(arbitrary, (message) => {
        const packet = encodePeerMessage(message, receiver);
        expect(plain(decodePeerMessage(packet, PEER, receiver))).toEqual(plain(message));
      }),
      { numRuns: RUNS },
    );
  });

  // Guards against an acknowledgement that is taken for one of the receiver's next incarnation.
  it('leaves the incarnation out only if the receiver is that incarnation', () => {
    const of = (incarnation: string) =>
      ({ type: 'usage-acknowledged', incarnation, numbers: [5, 9] }) as const;
    const own = encodePeerMessage(of(receiver.incarnation), receiver);
    const other = encodePeerMessage(of('earlier'), receiver);
    expect(own.length).toBeLessThan(other.length);
    expect(decoded(own)).toEqual(of(receiver.incarnation));
    expect(decoded(other)).toEqual(of('earlier'));
    expect(() => decodePeerMessage(own, PEER)).toThrow(RelayError);
  });

  // Guards against bytes that are dropped or invented when a packet is damaged on its way.
  it.each(listed)('refuses any %s that is cut short', (kind, arbitrary) => {
    fc.assert(
      fc.property(arbitrary, fc.double({ min: 0, max: 1, noNaN: true }), (message, share) => {
        const packet = encodePeerMessage(message, receiver);
        const length = Math.min(packet.length - 1, Math.floor(share * packet.length));
        expect(decoded(packet.subarray(0, length))).toBe('protocol-violation');
        expect(decoded(Uint8Array.of(...packet, 0))).toBe('protocol-violation');
      }),
      { numRuns: RUNS },
    );
  });

  // Guards against errors of other types and against messages that could not have been sent.
  it.each(listed)('refuses or reads whole any damaged %s', (kind, arbitrary) => {
    fc.assert(
      fc.property(arbitrary, fc.nat(), fc.nat({ max: 255 }), (message, at, value) => {
        const packet = Uint8Array.from(encodePeerMessage(message, receiver));
        packet[at % packet.length] = value;
        const result = decoded(packet);
        if (typeof result === 'string') {
          expect(result).toBe('protocol-violation');
        } else {
          const again = decodePeerMessage(encodePeerMessage(result, receiver), PEER, receiver);
          expect(plain(again)).toEqual(plain(result));
        }
      }),
      { numRuns: RUNS },
    );
  });

  // Guards against a guess at the meaning of a list that a later version sends.
  it('refuses unknown layouts', () => {
    for (const layout of [0, 8, 9, 99, -1, 1.5, '1', null, undefined, [1], true]) {
      expect(decoded(packr.pack([layout, 1, 2, []]))).toBe('protocol-violation');
      expect(decoded(packr.pack([layout]))).toBe('protocol-violation');
    }
    expect(decoded(packr.pack([]))).toBe('protocol-violation');
  });

  // Guards against the earlier form with field names, which has no checks any more.
  it('refuses compact messages that are sent with field names', () => {
    const entries: never[] = [];
    expect(decoded(packr.pack({ type: 'usage-progress', entries }))).toBe('protocol-violation');
  });

  it.each<[string, Uint8Array]>([
    ['a number that is not whole', packr.pack([4, 1.5])],
    ['a negative number', packr.pack([4, -1])],
    ['an element too many', packr.pack([3, 1, 1, [], 1])],
    ['an incarnation that is not text', packr.pack([5, 1, 1])],
    ['a heartbeat without an age', packr.pack([6, 1, 2, 3])],
    ['a heartbeat with a negative age', packr.pack([6, 1, 2, 3, -1])],
    ['a digest with a tag cut short', packr.pack([7, [], Buffer.alloc(3), [1]])],
    ['a digest with a tag too many', packr.pack([7, [], Buffer.alloc(8), [1]])],
    ['a digest with tags that are not bytes', packr.pack([7, [], [1], [1]])],
    ['a row without a state', digestWith({ 4: null })],
    ['a row with an unknown state', digestWith({ 4: 2 })],
    ['a row without a name', digestWith({ 0: '' })],
    ['a row with an empty incarnation', digestWith({ 2: new Uint8Array(0) })],
    ['a row with an address cut short', digestWith({ 7: Buffer.alloc(5) })],
    ['a row with an account without a cost', digestWith({ 8: ['account'] })],
    ['a row with a cost before its account', digestWith({ 8: [1, 'account'] })],
    ['a row with a cost that is not whole', digestWith({ 8: ['account', 0.5] })],
    ['a row with an age that is not whole', digestWith({ 6: 0.5 })],
    ['a row with work beyond exact numbers', digestWith({ 9: [2 ** 50, 2] })],
    ['a row with a class without a total', digestWith({ 9: [1, 2, 3] })],
    ['a closing cut inside a row', packr.pack([3, 1, 1, [1, 2]])],
    ['a closing with a negative sequence', packr.pack([3, 1, 1, [1, 2, 3, -2, 2, 3]])],
    ['a closing with a negative figure', packr.pack([3, 1, 1, [1, -2, 3]])],
    ['a closing with a sequence out of range', packr.pack([3, 1, 1, [2 ** 53, 2, 3]])],
    ['a progress cut inside a row', packr.pack([2, [1]])],
    ['a progress with an empty mark', packr.pack([2, [], []])],
    ['a progress with gaps cut inside a run', packr.pack([2, [], [9, 1]])],
    ['a progress with billions of gaps', packr.pack([2, [], [9, 1, 2 ** 40]])],
    [
      'a statement of billions of sequences',
      packr.pack({
        ...{ type: 'usage-statement', round: 'one', adopted: [] },
        own: { sequences: [1, 2 ** 40], lines: [] },
      }),
    ],
    ['an opening with a name without an index', openingWith({ 2: ['account', 0] })],
    ['an opening with an index without a name', openingWith({ 2: [0] })],
    ['an opening with fewer sequences than records', openingWith({ 3: [1, 1] })],
    ['an opening with more sequences than records', openingWith({ 3: [1, 3] })],
    ['an opening with a run of billions', openingWith({ 3: [1, 2 ** 40] })],
    ['an opening with an empty run', openingWith({ 3: [1, 0, 0, 2] })],
    ['an opening with a negative sequence', openingWith({ 3: [-1, 2] })],
    ['an opening without heads', openingWith({ 4: [] })],
    ['an opening with a text identifier and a last byte', openingWith({ 4: ['text'] })],
    ['an opening with a head too long', openingWith({ 4: [new Uint8Array(300)] })],
    ['an opening with a last byte too many', openingWith({ 5: Uint8Array.of(1, 2, 3) })],
    ['an opening with an unknown head', openingWith({ 6: [0, 1] })],
    ['an opening with too few heads', openingWith({ 6: [0] })],
    ['an opening cut inside a row', openingWith({ 7: [0, 0, 0, 0, 9, 0, 0, 0, 0] })],
    ['an opening with a row too few', openingWith({ 7: [0, 0, 0, 0, 9] })],
    ['an opening with figures of an unknown record', openingWith({ 8: [2, 1, 0] })],
    ['an opening with two figures of a record', openingWith({ 8: [1, 1, 0, 1, 2, 0] })],
    ['an opening with cut figures', openingWith({ 8: [1, 1] })],
  ])('refuses %s', (what, packet) => {
    expect(decoded(openingWith({}))).toMatchObject({ type: 'usage-open', number: 7 });
    expect(decoded(digestWith({}))).toMatchObject({ type: 'digest', heartbeats: [[0, 1]] });
    expect(decoded(packet)).toBe('protocol-violation');
  });
});
