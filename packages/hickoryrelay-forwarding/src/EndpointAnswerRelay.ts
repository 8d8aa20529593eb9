import { summarizePrompt } from './EnginePlacement.js';
import { BUFFERED_RESPONSE_BYTES } from './ForwardingLimits.js';
import { StreamEvents } from './StreamEvents.js';

import type { CallContext, Destination } from './CallContext.js';
import type { EndpointAnswer } from './EndpointLink.js';

/** Passes the answers of endpoints on to the caller of one request. */
export class EndpointAnswerRelay {
  private readonly call: CallContext;

  constructor(call: CallContext) {
    this.call = call;
  }

  /** Records the first byte of an answer, which is also when the request counts as begun. */
  private markFirstByte(destination: Destination, begun: number): void {
    const { state, expectedMilliseconds, readsTokens } = destination;
    const { clock, prefillRate } = this.call.parts;
    const now = clock.monotonicMilliseconds();
    state.recordDelay(Math.max(0, now - begun - expectedMilliseconds), now);
    if (this.call.isGeneration) {
      prefillRate.recordLocal(readsTokens, now - begun);
      this.call.recordCachedSegment(state, summarizePrompt(this.call.request.promptSegments));
    }
    this.call.trace.firstByteMilliseconds ??= now - this.call.request.arrivedMilliseconds;
    this.call.countRun();
  }

  /** Holds a plain answer until it is complete, unless it is long. */
  async relayWhole(destination: Destination, answer: EndpointAnswer, begun: number): Promise<void> {
    const held: Buffer[] = [];
    let heldBytes = 0;
    for await (const piece of answer.body) {
      if (this.call.sink.hasStarted) {
        await this.call.sink.write(piece);
      } else {
        held.push(piece);
        heldBytes += piece.length;
        if (heldBytes > BUFFERED_RESPONSE_BYTES) {
          await this.startHeld(answer, held);
        }
      }
    }
    this.markFirstByte(destination, begun);
    if (!this.call.sink.hasStarted) {
      await this.startHeld(answer, held, heldBytes);
    }
    this.call.sink.end();
  }

  /** Starts an answer with the pieces that were held; their length, where they are all, is known. */
  private async startHeld(
    answer: EndpointAnswer,
    held: readonly Buffer[],
    wholeLength?: number,
  ): Promise<void> {
    const length = answer.length ?? (answer.endsWithConnection ? undefined : wholeLength);
    this.call.sink.start({ ...answer, length });
    for (const piece of held) {
      await this.call.sink.write(piece);
    }
  }

  /** Passes complete events on as they come, so that another endpoint can continue after them. */
  async relayStream(
    destination: Destination,
    answer: EndpointAnswer,
    begun: number,
    cancelSilenceAlarm: () => void,
  ): Promise<void> {
    const { clock } = this.call.parts;
    const { state } = destination;
    const events = new StreamEvents();
    let isFirst = true;
    for await (const piece of answer.body) {
      state.recordActivity(clock.monotonicMilliseconds());
      for (const event of events.add(piece)) {
        if (isFirst) {
          isFirst = false;
          cancelSilenceAlarm();
          this.markFirstByte(destination, begun);
        }
        this.startStream(answer);
        await this.call.sink.write(event.bytes);
        this.call.deliver(event.identifier);
      }
    }
    this.startStream(answer);
    if (events.remainder.length > 0) {
      await this.call.sink.write(events.remainder);
    }
    this.call.sink.end();
  }

  private startStream(answer: EndpointAnswer): void {
    if (!this.call.sink.hasStarted) {
      this.call.sink.start(answer);
    }
  }
}
