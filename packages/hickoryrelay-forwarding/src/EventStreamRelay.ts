import { EndpointResponseRelay } from './EndpointResponseRelay.js';
import { EventStreamParser, mayFollow } from './EventStreamParser.js';

import type { RelayObserver } from './EndpointResponseRelay.js';
import type { ServerSentEvent } from './EventStreamParser.js';

/**
 * Relays complete events only, so that another endpoint can resume the stream after them. Throws
 * `endpoint-failed` if the stream repeats an event or ends inside one.
 */
export class EventStreamRelay extends EndpointResponseRelay {
  private readonly parser = new EventStreamParser(this.attempt.state.record.identifier);

  private readonly events = this.readEvents();

  /** The first event, which `prepare` has read; undefined if the stream has none. */
  private firstEvent: ServerSentEvent | undefined;

  override async prepare(): Promise<void> {
    const { done, value } = await this.events.next();
    if (done === true) {
      this.assertWhole();
    } else {
      this.firstEvent = value;
      this.recordFirstByte();
    }
  }

  override async relay(observer: RelayObserver): Promise<void> {
    for await (const event of this.allEvents()) {
      this.attempt.assertWanted();
      observer.onArrival();
      this.start();
      await this.call.sink.write(event.bytes);
      this.call.recordDelivery(event.identifier);
      observer.onWritten(event === this.firstEvent);
    }
    this.attempt.assertWanted();
    this.assertWhole();
    observer.onArrival();
    this.start();
    const { sink } = this.call;
    if (this.parser.remainder.length > 0) {
      await sink.write(this.parser.remainder);
    }
    sink.end();
  }

  override discard(): void {
    void this.events.return();
  }

  private async *readEvents(): AsyncGenerator<ServerSentEvent, void, void> {
    for await (const chunk of this.response.body) {
      for (const event of this.parser.push(chunk)) {
        this.checkOrder(event);
        this.attempt.recordActivity();
        yield event;
      }
    }
  }

  private async *allEvents(): AsyncGenerator<ServerSentEvent, void, void> {
    if (this.firstEvent !== undefined) {
      yield this.firstEvent;
      yield* this.events;
    }
  }

  /** Throws `endpoint-failed` unless the end of the stream shows that it is complete. */
  private assertWhole(): void {
    const { call, parser } = this;
    const { isCloseDelimited } = this.response;
    if (parser.isWithinEvent) {
      throw this.failure('the stream ended inside an event');
    }
    if (this.firstEvent === undefined && isCloseDelimited && call.lastEvent === undefined) {
      throw this.failure('the stream ended before its first event');
    }
  }

  private checkOrder({ identifier }: ServerSentEvent): void {
    const { lastEvent } = this.call;
    if (identifier !== undefined && lastEvent !== undefined && !mayFollow(identifier, lastEvent)) {
      throw this.failure(
        `event ${identifier.slice(0, 20)} came after event ${lastEvent.slice(0, 20)}`,
      );
    }
  }

  /** A stream that may be resumed has no stated length, since its bytes may come from two endpoints. */
  private start(): void {
    const { call, response } = this;
    if (!call.sink.hasStarted) {
      const { length } = response;
      call.sink.start({ ...response, length: call.isResumable ? undefined : length });
    }
  }
}
