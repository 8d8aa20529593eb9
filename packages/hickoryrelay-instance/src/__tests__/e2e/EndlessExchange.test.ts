import { afterEach, describe, expect, it } from 'vitest';
import { SystemClock } from 'hickoryrelay/Clock';
import { FailureKind } from 'hickoryrelay/Failure';
import { DEFAULT_EXCHANGE_LIMITS } from 'hickoryrelay-instance/ExchangeLimits';
import { EndlessEndpoint } from 'hickoryrelay-standin/EndlessEndpoint';
import { EndlessResponseKind } from 'hickoryrelay-standin/EndlessResponse';
import { sampleDeclarations } from 'hickoryrelay-standin/LocalFederation';

import { EndlessEngine, EndlessEvent } from './EndlessEngine.js';
import { ExchangeFixture, RecordingWriter } from './ExchangeFixture.js';

import type { BlockServer } from 'hickoryrelay-standin/BlockServer';

/** Time within which a call has to end by itself. */
const DEADLINE_MILLISECONDS = 15_000;

/** Time within which a call to a sound endpoint has to be served beside it. */
const SOUND_MILLISECONDS = 3000;

/** Bytes that socket buffers take in beyond what the link reads. */
const SOCKET_BUFFER_BYTES = 16_777_216;

/** What is relayed of the response to an invalid request. */
const ERROR_BODY_BYTES = 65_536;

/** No stream that has brought tokens without end is resumed, which would be at the same engine again. */
const LIMITS = { ...DEFAULT_EXCHANGE_LIMITS, maximumResumeTextBytes: 4096 };

const { maximumBufferedModelBytes, maximumAttemptsWithoutProgress } = LIMITS;

const MAXIMUM_BYTES =
  maximumAttemptsWithoutProgress * (maximumBufferedModelBytes + SOCKET_BUFFER_BYTES);

/** Responses that end, or bring nothing. */
const ENDING_KINDS: ReadonlySet<EndlessResponseKind> = new Set([
  EndlessResponseKind.SilentEvent,
  EndlessResponseKind.SoundBody,
]);

const KINDS = Object.values(EndlessResponseKind).filter((kind) => !ENDING_KINDS.has(kind));

const FORMS = [
  ['a stream', true],
  ['a whole response', false],
] as const;

const clock = new SystemClock();
const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanUp of cleanUps.splice(0).reverse()) {
    await cleanUp();
  }
});

/** Exchanges on the system's clock, with one engine and a sound service. */
async function startFixture(engine: BlockServer): Promise<ExchangeFixture> {
  await engine.listen();
  cleanUps.push(() => engine.close());
  const fixture = await new ExchangeFixture().start(0);
  cleanUps.push(() => fixture.stop());
  const place = { zone: 'zone-a', state: 'live' as const };
  fixture.fleet.update(
    [
      { ...place, identifier: 'engine-0', kind: 'engine', url: `http://${engine.address}` },
      { ...place, identifier: 'service-0', kind: 'service', url: fixture.service.url },
    ],
    new Map(sampleDeclarations().endpointKinds.map((each) => [each.name, each])),
  );
  fixture.parts = { ...fixture.parts, clock, limits: LIMITS };
  return fixture;
}

function times(limitMilliseconds: number) {
  const arrivalMilliseconds = clock.monotonicMilliseconds();
  return {
    arrivalMilliseconds,
    deadlineMilliseconds: arrivalMilliseconds + limitMilliseconds,
  };
}

/** Runs a call to the engine, and one to the sound service beside it. Returns the former's response. */
async function runBeside(engine: BlockServer, isStreaming: boolean): Promise<RecordingWriter> {
  const fixture = await startFixture(engine);
  const writer = new RecordingWriter(fixture.meter);
  const soundWriter = new RecordingWriter(fixture.meter);
  const call = fixture.modelCall({ isStreaming, ...times(DEADLINE_MILLISECONDS) });
  const soundCall = fixture.serviceCall(times(SOUND_MILLISECONDS));
  await Promise.all([fixture.open(call).run(writer), fixture.open(soundCall).run(soundWriter)]);
  expect(soundWriter.status).toBe(200);
  expect(soundWriter.ended).toBe(true);
  expect(fixture.memoryBudget.used).toBe(0);
  await expect.poll(() => engine.openResponses, { timeout: 30_000 }).toBe(0);
  return writer;
}

function expectEndpointFailure(writer: RecordingWriter): void {
  const kinds: readonly FailureKind[] = [FailureKind.EndpointFailed, FailureKind.ProtocolViolation];
  expect(kinds).toContain(writer.report?.failure.kind);
}

// Guards against an engine in trouble that takes memory or processor time until the deadline of its call.
describe('A call to an engine that sends without end', () => {
  const cases = KINDS.flatMap((kind) =>
    [200, 500].flatMap((status) =>
      FORMS.map(([form, isStreaming]) => ({ kind, status, form, isStreaming })),
    ),
  );

  it.each(cases)(
    'fails by itself: $kind, status $status, $form',
    async ({ kind, status, isStreaming }) => {
      const engine = new EndlessEndpoint(kind, status);
      expectEndpointFailure(await runBeside(engine, isStreaming));
      expect(engine.bytesWritten).toBeLessThan(MAXIMUM_BYTES);
    },
  );

  const events = Object.values(EndlessEvent).flatMap((event) =>
    FORMS.map(([form, isStreaming]) => ({ event, form, isStreaming })),
  );

  it.each(events)('fails by itself: events of kind $event, $form', async (each) => {
    expectEndpointFailure(await runBeside(new EndlessEngine(each.event), each.isStreaming));
  });

  it.each(KINDS)('ends by itself if the request is invalid: %s', async (kind) => {
    const writer = await runBeside(new EndlessEndpoint(kind, 400), true);
    if (writer.report === undefined) {
      expect(writer.ended).toBe(true);
      expect(writer.text.length).toBeLessThanOrEqual(ERROR_BODY_BYTES);
    } else {
      expectEndpointFailure(writer);
    }
  });
});
