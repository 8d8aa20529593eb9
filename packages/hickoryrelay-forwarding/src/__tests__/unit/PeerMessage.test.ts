import fastCheck from 'fast-check';
import { pack } from 'msgpackr';
import { describe, expect, it } from 'vitest';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import {
  decodePeerMessage,
  encodePeerMessage,
  OCCUPIED_TOKENS_STEP,
  PeerMessageKind,
} from 'hickoryrelay-forwarding/PeerMessage';
import { StoreRevision } from 'hickoryrelay-platform/StoreRevision';
import { RateKind, ReportAge } from 'hickoryrelay-workload/RateReport';

import { makeEndpoint } from './ForwardingFixture.js';

import type { PeerMessage } from 'hickoryrelay-forwarding/PeerMessage';

const loadArbitrary = fastCheck.record({
  endpoint: fastCheck.nat(2 ** 32 - 1),
  running: fastCheck.nat(500),
  prefillTokens: fastCheck.nat(10 ** 6),
  latePrefillTokens: fastCheck.nat(10 ** 6),
});

/** At least one load has tokens in a KV cache: they are left out if all have none. */
const occupiedLoadsArbitrary = fastCheck
  .array(fastCheck.tuple(loadArbitrary, fastCheck.nat(1000)), { minLength: 1 })
  .map((loads) =>
    loads.map(([load, steps], index) => ({
      ...load,
      occupiedTokens: (index === 0 ? steps + 1 : steps) * OCCUPIED_TOKENS_STEP,
    })),
  );

const reportedUseArbitrary = fastCheck.record({
  engine: fastCheck.nat(2 ** 32 - 1),
  segment: fastCheck.nat(2 ** 32 - 1),
  sharedTokens: fastCheck.nat(100_000),
  ownTokens: fastCheck.nat(100_000),
  origin: fastCheck.nat(2 ** 32 - 1),
});

const addressArbitrary = fastCheck.record({
  host: fastCheck.ipV4(),
  port: fastCheck.integer({ min: 1, max: 65_535 }),
});

const loadKindArbitrary = fastCheck.constantFrom(
  PeerMessageKind.Load,
  PeerMessageKind.LoadReport,
  PeerMessageKind.LoadDigest,
  PeerMessageKind.ZoneLoad,
);

const revisionArbitrary = fastCheck
  .tuple(fastCheck.nat(), fastCheck.nat())
  .map(([era, number]) => new StoreRevision(era, number));

const changesArbitrary = fastCheck.record({
  revision: revisionArbitrary,
  ageMilliseconds: fastCheck.nat(),
  configurationVersion: fastCheck.option(fastCheck.nat(), { nil: undefined }),
  fingerprint: fastCheck.string(),
  isAuthorityHeld: fastCheck.boolean(),
  endpoints: fastCheck.record({
    changed: fastCheck.array(
      fastCheck.stringMatching(/^[!-~]{1,200}$/u).map((name) => makeEndpoint(name)),
    ),
    removed: fastCheck.array(fastCheck.string()),
  }),
  peers: fastCheck.record({
    changed: fastCheck.constant([
      { instance: 'i', zone: 'z', host: '10.0.0.1', port: 7, cores: 0.5 },
    ]),
    removed: fastCheck.array(fastCheck.string()),
  }),
});

const rateLimitArbitrary = fastCheck.record({
  endpoint: fastCheck.nat(),
  requestsPerSecond: fastCheck.option(fastCheck.double({ min: 0, max: 1e6, noNaN: true }), {
    nil: undefined,
  }),
  ageMilliseconds: fastCheck.nat(),
});

/** Rates are sent in steps of a 64th of an octave. */
const rateArbitrary = fastCheck.record({
  endpoint: fastCheck.nat(2 ** 32 - 1),
  kind: fastCheck.constantFrom(...Object.values(RateKind)),
  age: fastCheck.constantFrom(...Object.values(ReportAge)),
  logRate: fastCheck.nat(64).map((steps) => steps / 64),
  weight: fastCheck.integer({ min: 1, max: 15 }),
});

const messageArbitrary: fastCheck.Arbitrary<PeerMessage> = fastCheck.oneof(
  fastCheck.record(
    {
      kind: loadKindArbitrary,
      sender: fastCheck.string(),
      loads: fastCheck.oneof(fastCheck.array(loadArbitrary), occupiedLoadsArbitrary),
      uses: fastCheck.array(reportedUseArbitrary),
      rateLimits: fastCheck.array(rateLimitArbitrary),
      rates: fastCheck.array(rateArbitrary, { minLength: 1, maxLength: 200 }),
    },
    { requiredKeys: ['kind', 'sender', 'loads', 'uses', 'rateLimits'] },
  ),
  fastCheck.record({
    kind: fastCheck.constant(PeerMessageKind.ViewRequest),
    requester: addressArbitrary,
    number: fastCheck.nat(),
    sinceRevision: revisionArbitrary,
  }),
  fastCheck.record({
    kind: fastCheck.constant(PeerMessageKind.ViewResponse),
    sender: fastCheck.string(),
    number: fastCheck.nat(),
    changes: fastCheck.option(changesArbitrary, { nil: undefined }),
  }),
  fastCheck.record({
    kind: fastCheck.constantFrom(
      PeerMessageKind.UsageCountsReport,
      PeerMessageKind.UsageCountsHandoff,
    ),
    reporter: addressArbitrary,
    number: fastCheck.nat(),
    usage: fastCheck.record({
      window: fastCheck.nat(),
      incarnation: fastCheck.string(),
      counts: fastCheck.dictionary(fastCheck.stringMatching(/^[a-z]\w*$/u), fastCheck.nat(), {
        noNullPrototype: true,
      }),
      isFinal: fastCheck.boolean(),
    }),
    storedEra: fastCheck.option(fastCheck.nat(), { nil: undefined }),
  }),
  fastCheck.record({
    kind: fastCheck.constant(PeerMessageKind.UsageSeal),
    replyTo: addressArbitrary,
    window: fastCheck.nat(),
    counts: fastCheck.constant(undefined),
  }),
  fastCheck.record({
    kind: fastCheck.constant(PeerMessageKind.UsageSeal),
    replyTo: fastCheck.constant(undefined),
    window: fastCheck.nat(),
    counts: fastCheck.dictionary(fastCheck.stringMatching(/^[a-z]\w*$/u), fastCheck.nat(), {
      noNullPrototype: true,
    }),
  }),
);

/** Encodes a message as an instance of another version might, without checks of its fields. */
function encodeUnchecked(message: unknown): Buffer {
  return encodePeerMessage(message as PeerMessage);
}

function makeChanges(changes: object = {}) {
  return {
    revision: new StoreRevision(1, 1),
    ageMilliseconds: 0,
    configurationVersion: 1,
    fingerprint: 'f',
    isAuthorityHeld: false,
    endpoints: { changed: [], removed: [] },
    peers: { changed: [], removed: [] },
    ...changes,
  };
}

function decodeChanges(changes: unknown) {
  const kind = PeerMessageKind.ViewResponse;
  const message = decodePeerMessage(encodeUnchecked({ kind, sender: 'a', number: 1, changes }));
  return message?.kind === kind ? message.changes : undefined;
}

describe('peer messages', () => {
  it('are unchanged by encoding and decoding', () => {
    fastCheck.assert(
      fastCheck.property(messageArbitrary, (message) => {
        expect(decodePeerMessage(encodePeerMessage(message))).toEqual(message);
      }),
    );
  });

  it('are rejected when malformed', () => {
    fastCheck.assert(
      fastCheck.property(fastCheck.uint8Array({ maxLength: 60 }), (bytes) => {
        const message = decodePeerMessage(Buffer.from(bytes));
        expect(message === undefined || typeof message.kind === 'number').toBe(true);
      }),
    );
  });
});

describe('the loads in load messages', () => {
  // Guards against an endpoint, or all of them, of infinite cost.
  it.each([Number.POSITIVE_INFINITY, Number.NaN, -1])('are rejected if one is %d', (running) => {
    const fields = [PeerMessageKind.Load, 'a', [5, running, 0, 0], [], []];
    expect(decodePeerMessage(pack(fields))).toBeUndefined();
  });
});

describe('the rates in load messages', () => {
  // Guards against the loss of the load and of the rate limits because of a faulty rate.
  it.each([
    ['that are no list', 7],
    ['that are negative', [1, -5, 16]],
    ['that are huge', [1, 1e300, 16]],
    ['that are not a number', [1, Number.NaN, 16]],
    ['of an unknown kind', [1, 2100, 19]],
    ['without an observation', [1, 2100, 0]],
    ['that are cut off', [1, 2100]],
  ])('are ignored if there are some %s', (_name, rates) => {
    const fields = [PeerMessageKind.Load, 'a', [5, 1, 0, 0], [], [], rates];
    expect(decodePeerMessage(pack(fields))).toEqual({
      kind: PeerMessageKind.Load,
      sender: 'a',
      loads: [{ endpoint: 5, running: 1, prefillTokens: 0, latePrefillTokens: 0 }],
      uses: [],
      rateLimits: [],
    });
  });

  it.each([
    ['too few', []],
    ['too many', [1, 2]],
    ['negative', [-1]],
    ['huge', [1e300]],
    ['fractional', [0.5]],
    ['no list', 'text'],
  ])('leave the loads as they are beside tokens in KV caches that are %s', (_name, occupied) => {
    const loads = [{ endpoint: 5, running: 1, prefillTokens: 0, latePrefillTokens: 0 }];
    const fields = [PeerMessageKind.Load, 'a', [5, 1, 0, 0], [], [], [], occupied];
    expect(decodePeerMessage(pack(fields))).toMatchObject({ loads });
  });

  it('may be missing, as in the messages of instances of an earlier version', () => {
    const message = decodePeerMessage(pack([PeerMessageKind.Load, 'a', [], [], []]));
    expect(message).toMatchObject({ sender: 'a', loads: [] });
  });

  // Guards against an exchange that exceeds the 9 KB/s that an instance may use for control.
  it('take at most eleven bytes each, and one byte if there are none', () => {
    const message = {
      kind: PeerMessageKind.LoadDigest,
      sender: 'instance-1',
      loads: [],
      uses: [],
      rateLimits: [],
    };
    const rates = Array.from({ length: 32 }, (_unused, index) => ({
      endpoint: 2 ** 32 - 1 - index,
      kind: RateKind.Response,
      age: ReportAge.Learned,
      logRate: -8,
      weight: 15,
    }));
    const emptyBytes = encodePeerMessage(message).length;
    // One byte for the rates and one for the tokens in KV caches.
    expect(emptyBytes).toBe(pack([message.kind, message.sender, [], [], []]).length + 2);
    expect(encodePeerMessage({ ...message, rates }).length - emptyBytes).toBeLessThanOrEqual(
      32 * 11,
    );
  });
});

// Guards against an older relay that passes on odd entries of the store, and against odd datagrams.
describe('peer messages with odd fields', () => {
  it.each([
    ['a port out of range', { address: '10.0.0.9:70000' }],
    ['no slots', { slots: 0 }],
    ['slots that are too large', { slots: 1e300 }],
    ['a start that is too large', { startedMilliseconds: 1e300 }],
    ['an unknown phase', { phase: 'other' }],
    ['a zone of 60 KB', { zone: 'z'.repeat(60_000) }],
  ])('remove an endpoint that has %s, and keep the others', (_name, odd) => {
    const sound = makeEndpoint('sound');
    const changed = [{ ...makeEndpoint('odd'), ...odd }, null, 'text', sound];
    expect(decodeChanges(makeChanges({ endpoints: { changed, removed: ['gone', 7] } }))).toEqual(
      makeChanges({ endpoints: { changed: [sound], removed: ['gone', 'odd'] } }),
    );
  });

  it.each([
    ['a port out of range', { port: 70_000 }],
    ['a fractional port', { port: 0.5 }],
    ['a host that is no address', { host: 'x' }],
    ['cores without bound', { cores: Number.POSITIVE_INFINITY }],
  ])('remove an instance that has %s, and keep the others', (_name, odd) => {
    const sound = { instance: 'sound', zone: 'z', host: '10.0.0.1', port: 7, cores: 0.5 };
    const changed = [{ ...sound, instance: 'odd', ...odd }, sound];
    expect(decodeChanges(makeChanges({ peers: { changed, removed: [] } }))).toEqual(
      makeChanges({ peers: { changed: [sound], removed: ['odd'] } }),
    );
  });

  it.each([
    ['revision', new StoreRevision(1, 1e300)],
    ['revision', new StoreRevision(1, Number.NaN)],
    ['revision', new StoreRevision(0.5, 1)],
    ['ageMilliseconds', -1e300],
    ['ageMilliseconds', Number.NaN],
  ])('have no changes if the field %s is %o', (field, value) => {
    expect(decodeChanges(makeChanges({ [field]: value }))).toBeUndefined();
  });

  it.each([0, 0.5, -1, 70_000, 1e300])('are rejected if the sender has port %d', (port) => {
    const address = { host: '10.0.0.1', port };
    const usage = { window: 1, incarnation: 'i', counts: {}, isFinal: true };
    const sinceRevision = new StoreRevision(1, 1);
    const messages = [
      { kind: PeerMessageKind.ViewRequest, requester: address, number: 1, sinceRevision },
      { kind: PeerMessageKind.UsageCountsReport, reporter: address, number: 1, usage },
      { kind: PeerMessageKind.UsageCountsHandoff, reporter: address, number: 1, usage },
    ];
    messages.forEach((message) => {
      expect(decodePeerMessage(encodeUnchecked(message))).toBeUndefined();
    });
  });

  it.each([{ a: '1' }, { a: -1 }, { a: 1e300 }, { a: null }])(
    'are rejected if the counts are %j',
    (counts) => {
      const reporter = { host: '10.0.0.1', port: 7 };
      const usage = { window: 1, incarnation: 'i', counts, isFinal: true };
      const kind = PeerMessageKind.UsageCountsReport;
      expect(
        decodePeerMessage(encodeUnchecked({ kind, reporter, number: 1, usage })),
      ).toBeUndefined();
    },
  );

  it('are rejected if they are nested deeply', () => {
    expect(decodePeerMessage(Buffer.alloc(60_000, 0x91))).toBeUndefined();
  });
});

describe('PeerLoads', () => {
  const load = {
    endpoint: 5,
    running: 2,
    prefillTokens: 10,
    latePrefillTokens: 0,
    occupiedTokens: 1024,
  };

  it('adds up the latest loads of all peers', () => {
    const loads = new PeerLoads();
    loads.receive({ sender: 'a', loads: [load] }, 0);
    loads.receive({ sender: 'a', loads: [{ ...load, running: 3 }] }, 10);
    loads.receive({ sender: 'b', loads: [load] }, 20);
    expect(loads.loadOf(5)).toEqual({
      running: 5,
      prefillTokens: 20,
      latePrefillTokens: 0,
      occupiedTokens: 2048,
    });
  });

  // Guards against a choice that takes old reports for new ones.
  it('states the mean age of the loads, and the greatest age without any', () => {
    const loads = new PeerLoads();
    expect(loads.ageMilliseconds(0)).toBe(1000);
    loads.receive({ sender: 'a', loads: [load] }, 100, 50);
    expect(loads.ageMilliseconds(200)).toBe(150);
    loads.receive({ sender: 'b', loads: [load] }, 200);
    expect(loads.ageMilliseconds(200)).toBe(75);
    loads.expire(2000);
    expect(loads.ageMilliseconds(2000)).toBe(1000);
  });

  // Guards against the load of a stopped instance keeping requests away from an engine.
  it('discards the load of a peer that sends no messages', () => {
    const loads = new PeerLoads();
    loads.receive({ sender: 'a', loads: [load] }, 0);
    loads.expire(2000);
    expect(loads.loadOf(5).running).toBe(0);
  });
});

describe('messages with a sealed usage window', () => {
  const sealOf = (accounts: number): PeerMessage => ({
    kind: PeerMessageKind.UsageSeal,
    replyTo: undefined,
    window: 353_445_120,
    counts: Object.fromEntries(
      Array.from({ length: accounts }, (_unused, index) => [`acc${index}`.padEnd(8, 'x'), 400]),
    ),
  });

  it('fit into one datagram at the design size of 1,100 client accounts', () => {
    expect(encodePeerMessage(sealOf(1100)).length).toBeLessThan(16_384);
  });

  // Guards against an odd message that changes what an instance takes for a seal.
  it.each([
    { field: 'window', fields: [[], 1.5, { a: 1 }] },
    { field: 'window', fields: [[], '1', { a: 1 }] },
    { field: 'counts', fields: [[], 1, { a: -1 }] },
    { field: 'counts', fields: [[], 1, { a: '1' }] },
    { field: 'counts', fields: [[], 1, null] },
    { field: 'address', fields: [['host', 7], 1, null] },
    { field: 'address', fields: [['10.0.0.1', 0], 1, null] },
    { field: 'address', fields: ['10.0.0.1', 1, null] },
    { field: 'address', fields: [['10.0.0.1', 7], 1, { a: 1 }] },
  ])('are dropped with an invalid $field: $fields', ({ fields }) => {
    expect(decodePeerMessage(pack([PeerMessageKind.UsageSeal, ...fields]))).toBeUndefined();
  });
});
