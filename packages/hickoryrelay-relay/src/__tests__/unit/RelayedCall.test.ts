import { describe, expect, it, vi } from 'vitest';
import { FailureKind } from 'hickoryrelay/Failure';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import { ConfigurationFloor } from 'hickoryrelay-relay/ConfigurationFloor';
import { HOP_MARGIN_MILLISECONDS, RelayedCall } from 'hickoryrelay-relay/RelayedCall';
import { RelayLink } from 'hickoryrelay-relay/RelayLink';
import { RelayTargets } from 'hickoryrelay-relay/RelayTargets';

import type { RelayedCallParts } from 'hickoryrelay-relay/RelayedCall';
import type { RelayedRequest, RelayReceiver, RelayResponse } from 'hickoryrelay-relay/RelayLink';

const REMAINING_MILLISECONDS = 1000;

function failure(mayHaveRun: boolean): RelayError {
  const kind = FailureKind.EndpointFailed;
  return new RelayError({ kind, endpoint: 'instance', reason: 'reset', mayHaveRun });
}

/** A response of a receiver. An error among the parts breaks the body off. */
function response(
  parts: readonly (string | Error)[],
  changes: Partial<RelayResponse> = {},
): RelayResponse {
  async function* body(): AsyncGenerator<Buffer, void, void> {
    for (const part of parts) {
      if (part instanceof Error) {
        throw part;
      }
      yield Buffer.from(part);
    }
  }
  const head = { status: 200, headers: [], length: undefined, hasBody: true };
  return { ...head, isUnreachable: false, body: body(), discard: () => {}, ...changes };
}

type Answer = RelayResponse | Error;

/** A link whose receivers answer in turn as scripted. */
class ScriptedRelayLink extends RelayLink {
  readonly sent: { receiver: RelayReceiver; request: RelayedRequest }[] = [];

  private readonly answers: Answer[];

  constructor(answers: readonly Answer[]) {
    super();
    this.answers = [...answers];
  }

  override async send(receiver: RelayReceiver, request: RelayedRequest): Promise<RelayResponse> {
    this.sent.push({ receiver, request });
    const answer = this.answers.shift() ?? failure(false);
    if (answer instanceof Error) {
      throw answer;
    }
    return answer;
  }
}

/** Records the response to the caller. */
class RecordedResponse {
  status: number | undefined;

  text = '';

  isEnded = false;

  get hasStarted(): boolean {
    return this.status !== undefined;
  }

  recordPassedOn(): void {}

  start({ status }: { status: number }): void {
    this.status = status;
  }

  async write(chunk: Buffer): Promise<void> {
    this.text += chunk.toString();
  }

  end(): void {
    this.isEnded = true;
  }
}

async function run(answers: readonly Answer[], changes: Partial<RelayedCallParts> = {}) {
  const targets = new RelayTargets({
    self: { instance: 'instance-0', zone: 'z' },
    clock: new ManualClock(),
    random: new SeededRandomSource(1),
  });
  targets.setReceivers(
    [1, 2, 3, 4, 5].map((number) => ({
      instance: `instance-${number}`,
      zone: 'z',
      host: '10.0.0.1',
      port: 7000 + number,
    })),
  );
  const link = new ScriptedRelayLink(answers);
  const sink = new RecordedResponse();
  const steps: string[] = [];
  const call = new RelayedCall({
    targets,
    link,
    sink,
    deadline: {
      signal: new AbortController().signal,
      endReason: 'the time is over',
      remaining: () => REMAINING_MILLISECONDS,
    },
    service: 'desk',
    request: {
      identifier: 'r',
      method: 'GET',
      target: '/',
      headers: [],
      body: Buffer.alloc(0),
      accessKey: 'key',
      lastEvent: undefined,
      attemptsMade: 0,
    },
    isRepeatable: false,
    maximumAttempts: 3,
    floor: new ConfigurationFloor(() => {}),
    configurationVersion: 1,
    addStep: (step) => steps.push(step),
    recordFirstByte: () => {},
    ...changes,
  });
  const reason = await call.run();
  return { reason, call, link, sink, targets, steps };
}

const unreachable = () => response([], { status: 503, isUnreachable: true });

describe('A call that is passed on', () => {
  it.each([
    ['cannot reach the endpoints either', unreachable()],
    ['cannot be connected to', failure(false)],
  ])('is sent once more when a receiver %s, which is not asked again', async (_name, answer) => {
    const { reason, call, link, sink, targets } = await run([answer, response(['whole'])]);
    expect(reason).toBeUndefined();
    expect(sink).toMatchObject({ status: 200, text: 'whole', isEnded: true });
    const [first, second] = link.sent.map(({ receiver }) => receiver.instance);
    expect(call.receiver?.instance).toBe(second);
    const later = [...targets.candidates('desk')].map(({ instance }) => instance);
    expect(later).not.toContain(first);
  });

  it.each([503, 429, 504, 401])('brings the caller the status %i of a receiver', async (status) => {
    const { reason, link, sink } = await run([response(['why'], { status }), response([])]);
    expect(reason).toBeUndefined();
    expect(sink).toMatchObject({ status, text: 'why', isEnded: true });
    expect(link.sent).toHaveLength(1);
  });

  // Guards against a machine that goes back to an older configuration after another one has decided by a newer one.
  it('names the newest configuration by which a receiver has decided', async () => {
    const onNewer = vi.fn();
    const parts = { floor: new ConfigurationFloor(onNewer), configurationVersion: 3 };
    const first = await run([response([], { configurationVersion: 5 })], parts);
    const second = await run([response([], { configurationVersion: 4 })], parts);
    const requests = [first, second].map(({ link }) => link.sent[0]?.request);
    expect(requests.map((request) => request?.minimumConfiguration)).toEqual([3, 5]);
    expect(onNewer).toHaveBeenCalledOnce();
  });

  it('is not run twice after a receiver that may have run it', async () => {
    const { reason, call, link, sink } = await run([failure(true), response(['again'])]);
    expect(reason).toBeDefined();
    expect(call.mayHaveRun).toBe(true);
    expect(link.sent).toHaveLength(1);
    expect(sink.hasStarted).toBe(false);
  });

  it('counts a hop that may have run as an attempt when it is repeated', async () => {
    const answers = [failure(true), failure(true), response(['late'])];
    const { reason, link } = await run(answers, { isRepeatable: true, maximumAttempts: 2 });
    expect(reason).toBeDefined();
    expect(link.sent.map(({ request }) => request.attemptsMade)).toEqual([0, 1]);
  });

  it('brings no refusal of a receiver after another one may have run it', async () => {
    const answers = [failure(true), response(['busy'], { status: 503 }), response(['done'])];
    const { sink, call } = await run(answers, { isRepeatable: true });
    expect(call.mayHaveRun).toBe(true);
    expect(sink).toMatchObject({ status: 200, text: 'done' });
  });

  it('is not repeated once a part of the response has reached the caller', async () => {
    const answers = [response(['part', failure(true)]), response(['other'])];
    const { reason, link, sink } = await run(answers, { isRepeatable: true });
    expect(reason).toBeDefined();
    expect(link.sent).toHaveLength(1);
    expect(sink).toMatchObject({ text: 'part', isEnded: false });
  });

  it('is repeated if a receiver ends after the head of its response', async () => {
    const answers = [response([failure(true)]), response(['whole'])];
    const { reason, sink } = await run(answers, { isRepeatable: true });
    expect(reason).toBeUndefined();
    expect(sink).toMatchObject({ text: 'whole', isEnded: true });
  });

  it('asks three receivers and leaves no hop open', async () => {
    const { reason, call, link, targets } = await run([unreachable(), failure(false)]);
    expect(reason).toBe('no other instance can send the request');
    expect(call.mayHaveRun).toBe(false);
    expect(link.sent).toHaveLength(3);
    expect([...targets.candidates('desk')]).toHaveLength(2);
  });

  it('gives a receiver less time than is left, and asks none at the end', async () => {
    const { link } = await run([response([])]);
    const remaining = REMAINING_MILLISECONDS - HOP_MARGIN_MILLISECONDS;
    expect(link.sent[0]?.request.remainingMilliseconds).toBe(remaining);
    const signal = AbortSignal.abort();
    const deadline = { signal, endReason: 'the time is over', remaining: () => 0 };
    const late = await run([response([])], { deadline });
    expect(late.reason).toBe('the time is over');
    expect(late.link.sent).toHaveLength(0);
  });
});
