import fastCheck from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import {
  decodePeerMessage,
  encodePeerMessage,
  PeerMessageKind,
} from 'hickoryrelay-forwarding/PeerMessage';

import { makeEndpoint } from './ForwardingFixture.js';

import type { PeerMessage } from 'hickoryrelay-forwarding/PeerMessage';

const loadArbitrary = fastCheck.record({
  endpoint: fastCheck.nat(2 ** 32 - 1),
  running: fastCheck.nat(500),
  prefillTokens: fastCheck.nat(10 ** 6),
  latePrefillTokens: fastCheck.nat(10 ** 6),
});

const reportedUseArbitrary = fastCheck.record({
  engine: fastCheck.nat(2 ** 32 - 1),
  segment: fastCheck.nat(2 ** 32 - 1),
  sharedTokens: fastCheck.nat(100_000),
  ownTokens: fastCheck.nat(100_000),
  origin: fastCheck.nat(2 ** 32 - 1),
});

const loadKindArbitrary = fastCheck.constantFrom(
  PeerMessageKind.Load,
  PeerMessageKind.LoadReport,
  PeerMessageKind.LoadDigest,
  PeerMessageKind.ZoneLoad,
);

const changesArbitrary = fastCheck.record({
  revision: fastCheck.nat(),
  ageMilliseconds: fastCheck.nat(),
  configurationVersion: fastCheck.option(fastCheck.nat(), { nil: undefined }),
  isAuthorityHeld: fastCheck.boolean(),
  endpoints: fastCheck.record({
    changed: fastCheck.array(fastCheck.string().map((name) => makeEndpoint(name))),
    removed: fastCheck.array(fastCheck.string()),
  }),
  peers: fastCheck.record({
    changed: fastCheck.constant([
      { instance: 'i', zone: 'z', host: '10.0.0.1', port: 7, cores: 0.5 },
    ]),
    removed: fastCheck.array(fastCheck.string()),
  }),
});

const messageArbitrary: fastCheck.Arbitrary<PeerMessage> = fastCheck.oneof(
  fastCheck.record({
    kind: loadKindArbitrary,
    sender: fastCheck.string(),
    loads: fastCheck.array(loadArbitrary),
    uses: fastCheck.array(reportedUseArbitrary),
  }),
  fastCheck.record({
    kind: fastCheck.constant(PeerMessageKind.ViewRequest),
    requester: fastCheck.record({ host: fastCheck.string(), port: fastCheck.nat() }),
    number: fastCheck.nat(),
    sinceRevision: fastCheck.nat(),
  }),
  fastCheck.record({
    kind: fastCheck.constant(PeerMessageKind.ViewResponse),
    sender: fastCheck.string(),
    number: fastCheck.nat(),
    changes: fastCheck.option(changesArbitrary, { nil: undefined }),
  }),
);

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

describe('PeerLoads', () => {
  const load = { endpoint: 5, running: 2, prefillTokens: 10, latePrefillTokens: 0 };

  it('adds up the latest loads of all peers', () => {
    const loads = new PeerLoads();
    loads.receive({ sender: 'a', loads: [load] }, 0);
    loads.receive({ sender: 'a', loads: [{ ...load, running: 3 }] }, 10);
    loads.receive({ sender: 'b', loads: [load] }, 20);
    expect(loads.loadOf(5)).toEqual({ running: 5, prefillTokens: 20, latePrefillTokens: 0 });
  });

  // Guards against the load of a stopped instance keeping requests away from an engine.
  it('discards the load of a peer that sends no messages', () => {
    const loads = new PeerLoads();
    loads.receive({ sender: 'a', loads: [load] }, 0);
    loads.expire(2000);
    expect(loads.loadOf(5).running).toBe(0);
  });
});
