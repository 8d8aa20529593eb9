import { describeFailure, FailureKind } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { NOT_RUN_STATUSES } from 'hickoryrelay/StatusUtils';

import type { ConfigurationFloor } from './ConfigurationFloor.js';
import type {
  HeaderList,
  RelayedRequest,
  RelayLink,
  RelayReceiver,
  RelayResponse,
} from './RelayLink.js';
import type { RelayTargets } from './RelayTargets.js';

/** Taken off the time that a receiver gets, so that its response arrives before the deadline. */
export const HOP_MARGIN_MILLISECONDS = 15;

/** No further receiver is asked with less time left. */
export const MINIMUM_HOP_MILLISECONDS = 60;

const FIRST_CLIENT_ERROR = 400;

/** Sends the response to the caller of a request that is passed on. */
export interface RelayedResponseSink {
  /** True once the response has been started. No other one can be started then. */
  readonly hasStarted: boolean;
  /** Called when the request is passed on. */
  recordPassedOn(): void;
  start(head: {
    readonly status: number;
    readonly headers: HeaderList;
    readonly length: number | undefined;
  }): void;
  /** Resolves when the caller can receive more, has left, or the signal aborts. */
  write(chunk: Buffer, signal: AbortSignal): Promise<void>;
  end(): void;
}

/** The time limits of a request. */
export interface RelayedCallDeadline {
  /** Aborts at the deadline, when the caller leaves, or when a stopping instance has to answer. */
  readonly signal: AbortSignal;
  /** Why the signal has aborted, or that too little time is left. */
  readonly endReason: string;
  /** Time left, in milliseconds. */
  remaining(): number;
}

/** Collaborators of a call that is passed on. */
export interface RelayedCallParts {
  readonly targets: RelayTargets;
  readonly link: RelayLink;
  readonly sink: RelayedResponseSink;
  readonly deadline: RelayedCallDeadline;
  readonly service: string;
  readonly request: Omit<RelayedRequest, 'remainingMilliseconds' | 'minimumConfiguration'>;
  readonly floor: ConfigurationFloor;
  /** Version of the configuration of this instance. */
  readonly configurationVersion: number | undefined;
  /** True if the request may be sent again although it may have run. */
  readonly isRepeatable: boolean;
  /** Limit on the attempts of all instances together. */
  readonly maximumAttempts: number;
  /** Records a step for the log. */
  readonly addStep: (step: string) => void;
  /** Called when the first part of the response has arrived. */
  readonly recordFirstByte: () => void;
}

/** Passes one request on, over its receivers, until it is answered or cannot be served. */
export class RelayedCall {
  private readonly parts: RelayedCallParts;

  private hasUnknownResult = false;

  private attemptsMade: number;

  private answeredBy: RelayReceiver | undefined;

  constructor(parts: RelayedCallParts) {
    this.parts = parts;
    this.attemptsMade = parts.request.attemptsMade;
  }

  /** True once a receiver has failed that may have run the request. */
  get mayHaveRun(): boolean {
    return this.hasUnknownResult;
  }

  /** The instance whose response the caller gets. */
  get receiver(): RelayReceiver | undefined {
    return this.answeredBy;
  }

  /** Answers the caller by one of the receivers. Returns the reason if that has failed. */
  async run(): Promise<string | undefined> {
    const { targets, deadline, service } = this.parts;
    for (const receiver of targets.candidates(service)) {
      if (deadline.signal.aborted || deadline.remaining() < MINIMUM_HOP_MILLISECONDS) {
        return deadline.endReason;
      }
      const failure = await this.ask(receiver);
      if (failure === undefined) {
        return undefined;
      }
      this.parts.addStep(`relay ${receiver.instance}: ${failure}`);
      if (deadline.signal.aborted) {
        return deadline.endReason;
      }
      if (!this.mayAskAnother) {
        return 'the request may have run at another instance';
      }
    }
    return 'no other instance can send the request';
  }

  private get mayAskAnother(): boolean {
    const { sink, isRepeatable, maximumAttempts } = this.parts;
    return (
      !this.mayHaveRun || (isRepeatable && !sink.hasStarted && this.attemptsMade < maximumAttempts)
    );
  }

  /** Asks one receiver. Returns the reason if the caller gets no complete response of it. */
  private async ask(receiver: RelayReceiver): Promise<string | undefined> {
    const { targets, link, sink, deadline, service, floor, configurationVersion } = this.parts;
    const endHop = targets.begin(receiver);
    try {
      sink.recordPassedOn();
      const response = await link.send(receiver, this.requestNow(), deadline.signal);
      targets.recordReached(receiver);
      floor.record(response.configurationVersion, configurationVersion);
      if (response.isUnreachable) {
        response.discard();
        targets.recordUnable(receiver, service);
        return 'it cannot reach the endpoints either';
      }
      if (this.mayHaveRun && NOT_RUN_STATUSES.has(response.status)) {
        // True for this receiver, but not for the one that may have run the request.
        response.discard();
        return `refused with status ${response.status}`;
      }
      if (response.status >= FIRST_CLIENT_ERROR) {
        this.parts.addStep(`relay ${receiver.instance}: status ${response.status}`);
      }
      this.answeredBy = receiver;
      await this.relay(response);
      return undefined;
    } catch (error) {
      return this.recordFailure(receiver, error);
    } finally {
      endHop();
    }
  }

  private requestNow(): RelayedRequest {
    const { request, deadline, floor, configurationVersion } = this.parts;
    return {
      ...request,
      remainingMilliseconds: deadline.remaining() - HOP_MARGIN_MILLISECONDS,
      attemptsMade: this.attemptsMade,
      minimumConfiguration: floor.above(configurationVersion),
    };
  }

  private async relay(response: RelayResponse): Promise<void> {
    const { sink, deadline, recordFirstByte } = this.parts;
    for await (const part of response.body) {
      if (!sink.hasStarted) {
        recordFirstByte();
        sink.start(response);
      }
      await sink.write(part, deadline.signal);
    }
    if (!sink.hasStarted) {
      recordFirstByte();
      sink.start(response);
    }
    sink.end();
  }

  private recordFailure(receiver: RelayReceiver, error: unknown): string {
    const failure = failureOf(error);
    const isUnsent = failure.kind === FailureKind.EndpointFailed && !failure.mayHaveRun;
    if (!isUnsent) {
      this.hasUnknownResult = true;
      this.attemptsMade += 1;
    } else if (!this.parts.deadline.signal.aborted) {
      this.parts.targets.recordUnreached(receiver);
    }
    return describeFailure(failure);
  }
}
