import { EndpointResponseRelay } from './EndpointResponseRelay.js';
import { BUFFERED_RESPONSE_BYTES } from './ForwardingLimits.js';

import type { RelayObserver } from './EndpointResponseRelay.js';

/** Responses of this status and above are short and tell nothing of an endpoint's speed. */
const FIRST_REDIRECT = 300;

/** Relays a response that is not streamed, buffered until it is complete or exceeds the limit. */
export class BufferedResponseRelay extends EndpointResponseRelay {
  private readonly buffered: Buffer[] = [];

  private bufferedBytes = 0;

  private isComplete = false;

  private readonly chunks = this.readChunks();

  override async prepare(): Promise<void> {
    while (this.bufferedBytes <= BUFFERED_RESPONSE_BYTES) {
      const { done, value } = await this.chunks.next();
      if (done === true) {
        this.isComplete = true;
        this.recordFirstByte();
        this.recordResponseTime();
        return;
      }
      this.buffered.push(value);
      this.bufferedBytes += value.length;
      this.retain(this.bufferedBytes);
    }
  }

  override async relay(observer: RelayObserver): Promise<void> {
    const { sink } = this.call;
    this.attempt.assertWanted();
    observer.onArrival();
    this.start();
    for (const chunk of this.buffered.splice(0)) {
      await this.write(chunk);
    }
    this.retain(0);
    this.recordProgress();
    if (!this.isComplete) {
      for await (const chunk of this.chunks) {
        await this.write(chunk);
        this.recordProgress();
      }
      this.recordFirstByte();
    }
    sink.end();
  }

  override discard(): void {
    void this.chunks.return();
  }

  /** Learns from the time of a successful response at an endpoint with a free slot. */
  private recordResponseTime(): void {
    const { state, sentMilliseconds } = this.attempt;
    const { clock, registry } = this.call.parts;
    if (
      !this.call.isGeneration &&
      this.status < FIRST_REDIRECT &&
      state.totalRunning <= state.record.slots
    ) {
      const now = clock.monotonicMilliseconds();
      registry.workload.recordResponse(state.hash, now - sentMilliseconds, now);
    }
  }

  private async *readChunks(): AsyncGenerator<Buffer, void, void> {
    yield* this.response.body;
  }

  private start(): void {
    const { length, hasBody } = this.response;
    const knownLength = this.isComplete && hasBody ? this.bufferedBytes : undefined;
    this.call.sink.start({ ...this.response, length: length ?? knownLength });
    this.call.recordUnresumableStart();
  }
}
