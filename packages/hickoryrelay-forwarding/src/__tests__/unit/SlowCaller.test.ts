import { describe, expect, it } from 'vitest';

import {
  endpointFailure,
  makeResponse,
  makeRouteHarness,
  RESUMABLE_STREAM,
} from './ForwardingFixture.js';

import type { EndpointBehaviour } from './ForwardingFixture.js';

const EVENTS = 'id: 1\n\n';
const LARGE_BODY = 'x'.repeat(70_000);

function untilAborted(signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve();
    }
    signal?.addEventListener('abort', () => resolve());
  });
}

/** Sends a chunk and then nothing until its request is aborted. */
const neverEnds =
  (chunk: string, isEventStream: boolean): EndpointBehaviour =>
  async (_attempt, signal) => {
    async function* body(): AsyncGenerator<Buffer, void, void> {
      yield Buffer.from(chunk);
      await untilAborted(signal);
      throw endpointFailure(true);
    }
    return makeResponse([], { isEventStream, body: body() });
  };

describe('A caller that does not read', () => {
  // Guards against requests that stay open, with their endpoint's slot, until the caller leaves.
  it.each([
    ['a stream without end', neverEnds(EVENTS, true), { isAborted: true, isEnded: false }],
    ['a body without end', neverEnds(LARGE_BODY, false), { isAborted: true, isEnded: false }],
    ['a complete stream', async () => makeResponse([EVENTS]), { isAborted: false, isEnded: true }],
  ] as [string, EndpointBehaviour, object][])(
    'is not waited for beyond the deadline: %s',
    async (_name, behaviour, expected) => {
      const harness = makeRouteHarness({ ...RESUMABLE_STREAM, maximumAttempts: 1 }, [behaviour]);
      Object.assign(harness.sink, {
        write: (_chunk: Buffer, signal?: AbortSignal) => untilAborted(signal),
      });
      const run = harness.run();
      await harness.clock.advance(120_000);
      await run;
      expect(harness.sink).toMatchObject(expected);
    },
  );
});
