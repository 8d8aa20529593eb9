import { EventStreamAllowance } from 'hickoryrelay/EventStreamAllowance';

import { EndpointResponseRelay } from './EndpointResponseRelay.js';
import { EventStreamParser, mayFollow } from './EventStreamParser.js';

import type { RelayObserver } from './EndpointResponseRelay.js';
import type { EventBatch, ServerSentEvent } from './EventStreamParser.js';
import type { RelayError } from 'hickoryrelay/RelayError';

/** Events that are written to the caller together. */
interface Delivery {
  readonly bytes: Buffer;
  /** True if the stream can be resumed after them: each has an identifier. */
  readonly areIdentified: boolean;
  readonly lastIdentifier: string | undefined;
}

/**
 * Relays complete events only, so that another endpoint can resume the stream after them. Throws
 * `endpoint-failed` if the stream repeats an event, ends inside one or brings too many.
 *
 * Events that arrive together are written together: a write for each event would cost more than
 * its parsing, and the events of one chunk would keep other connections waiting.
 */
export class EventStreamRelay extends EndpointResponseRelay {
  private readonly parser = new EventStreamParser(this.attempt.state.record.identifier);

  private readonly deliveries = this.readDeliveries();

  private readonly allowance = new EventStreamAllowance(this.call.parts.clock);

  /** The first events, which `prepare` has read, until they are delivered. */
  private firstDelivery: Delivery | undefined;

  private hasEvents = false;

  override async prepare(): Promise<void> {
    const { done, value } = await this.deliveries.next();
    if (done === true) {
      this.assertWhole();
    } else {
      this.firstDelivery = value;
      this.hasEvents = true;
      this.recordFirstByte();
    }
  }

  override async relay(observer: RelayObserver): Promise<void> {
    let isFirst = true;
    for await (const delivery of this.allDeliveries()) {
      this.attempt.assertWanted();
      observer.onArrival();
      this.start();
      await this.write(delivery.bytes);
      this.recordDelivery(delivery);
      this.recordProgress();
      observer.onWritten(isFirst);
      isFirst = false;
    }
    this.attempt.assertWanted();
    this.assertWhole();
    observer.onArrival();
    this.start();
    const { sink } = this.call;
    if (this.parser.remainder.length > 0) {
      await this.write(this.parser.remainder);
    }
    sink.end();
  }

  override discard(): void {
    void this.deliveries.return();
  }

  private async *readDeliveries(): AsyncGenerator<Delivery, void, void> {
    const { clock, registry } = this.call.parts;
    const { hash } = this.attempt.state;
    let firstMilliseconds: number | undefined;
    let lastMilliseconds = 0;
    let gaps = 0;
    for await (const chunk of this.response.body) {
      const batch = this.parser.push(chunk);
      this.retain(this.parser.retainedBytes);
      if (!this.allowance.tryTake(batch?.length ?? 0, chunk.length)) {
        throw this.failure('the stream has too many events or bytes');
      }
      if (batch !== undefined) {
        this.attempt.recordActivity();
        this.recordProgress();
        lastMilliseconds = clock.monotonicMilliseconds();
        gaps += firstMilliseconds === undefined ? 0 : batch.length;
        firstMilliseconds ??= lastMilliseconds;
        yield* this.split(batch);
      }
    }
    if (firstMilliseconds !== undefined && this.call.isGeneration) {
      registry.workload.recordStream(
        hash,
        gaps,
        lastMilliseconds - firstMilliseconds,
        lastMilliseconds,
      );
    }
  }

  /** Yields the events that may be relayed. Throws at the first one that may not. */
  private *split(batch: EventBatch): Generator<Delivery, void, void> {
    if (!batch.mayHaveIdentifiers) {
      yield { bytes: batch.bytes, areIdentified: false, lastIdentifier: undefined };
      return;
    }
    let previous = this.call.lastEvent;
    let lastIdentifier: string | undefined;
    let areIdentified = true;
    let length = 0;
    const delivery = (): Delivery => ({
      bytes: batch.bytes.subarray(0, length),
      areIdentified,
      lastIdentifier,
    });
    for (const event of batch.events()) {
      const failure = this.orderFailure(event, previous);
      if (failure !== undefined) {
        if (length > 0) {
          yield delivery();
        }
        throw failure;
      }
      previous = event.identifier ?? previous;
      lastIdentifier = event.identifier ?? lastIdentifier;
      areIdentified &&= event.identifier !== undefined;
      length += event.bytes.length;
    }
    yield delivery();
  }

  private async *allDeliveries(): AsyncGenerator<Delivery, void, void> {
    const { firstDelivery } = this;
    if (firstDelivery !== undefined) {
      this.firstDelivery = undefined;
      yield firstDelivery;
      yield* this.deliveries;
    }
  }

  private recordDelivery({ areIdentified, lastIdentifier }: Delivery): void {
    if (!areIdentified) {
      this.call.recordDelivery(undefined);
    }
    if (lastIdentifier !== undefined) {
      this.call.recordDelivery(lastIdentifier);
    }
  }

  /** Throws `endpoint-failed` unless the end of the stream shows that it is complete. */
  private assertWhole(): void {
    const { call, parser } = this;
    const { isCloseDelimited } = this.response;
    if (parser.isWithinEvent) {
      throw this.failure('the stream ended inside an event');
    }
    if (!this.hasEvents && isCloseDelimited && call.lastEvent === undefined) {
      throw this.failure('the stream ended before its first event');
    }
  }

  private orderFailure(
    { identifier }: ServerSentEvent,
    previous: string | undefined,
  ): RelayError | undefined {
    return identifier === undefined || previous === undefined || mayFollow(identifier, previous)
      ? undefined
      : this.failure(`event ${identifier.slice(0, 20)} came after event ${previous.slice(0, 20)}`);
  }

  /** A stream that may be resumed has no stated length, since its bytes may come from two endpoints. */
  private start(): void {
    const { call, response, attempt } = this;
    if (!call.bindStream(attempt)) {
      throw this.failure('another software version began the stream');
    }
    if (!call.sink.hasStarted) {
      const { length } = response;
      call.sink.start({ ...response, length: call.isResumable ? undefined : length });
    }
  }
}
