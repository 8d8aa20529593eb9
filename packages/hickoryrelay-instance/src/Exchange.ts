import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, hasFailureKind, RelayError } from 'hickoryrelay/RelayError';
import { WorkKind } from 'hickoryrelay-contract/ClassOfWork';

import { BufferedModelRelay } from './BufferedModelRelay.js';
import { CallAttempts } from './CallAttempts.js';
import { CallMetering } from './CallMetering.js';
import { ModelStreamRelay } from './ModelStreamRelay.js';
import { ServiceRelay } from './ServiceRelay.js';
import type { EndpointLinks } from './EndpointLinks.js';
import type { ExchangeCounters } from './ExchangeCounters.js';
import type { ExchangeLimits } from './ExchangeLimits.js';
import type { ResponseMemoryBudget } from './ResponseMemoryBudget.js';
import type { ResponseRelay } from './ResponseRelay.js';
import type { ResponseWriter } from './ResponseWriter.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { RetryBudget } from 'hickoryrelay/RetryBudget';
import type { AdmissionPolicy } from 'hickoryrelay-admission/AdmissionPolicy';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { Call } from 'hickoryrelay-link/Call';
import type { CallMeter } from 'hickoryrelay-usage/CallMeter';
import type { ClaimRegister } from 'hickoryrelay-usage/ClaimRegister';
import type { EndpointCall } from 'hickoryrelay-zone/EndpointCall';
import type { Fleet } from 'hickoryrelay-zone/Fleet';
import type { SelectionPolicy } from 'hickoryrelay-zone/SelectionPolicy';

/** Dependencies of an exchange, shared by all exchanges of an instance. */
export interface ExchangeParts {
  readonly admission: AdmissionPolicy<Call>;
  readonly selection: SelectionPolicy;
  readonly fleet: Fleet;
  readonly links: EndpointLinks;
  readonly clock: Clock;
  /**
   * Starts tracking an attempt, which updates the endpoint's load, health and concurrency limit.
   */
  readonly beginAttempt: (endpoint: Endpoint, call: Call) => EndpointCall;
  readonly random: RandomSource;
  readonly meter: CallMeter;
  readonly claims: ClaimRegister;
  readonly retryBudget: RetryBudget;
  readonly memoryBudget: ResponseMemoryBudget;
  readonly counters: ExchangeCounters;
  readonly endpointLog: ComponentLogger;
  readonly limits: ExchangeLimits;
}

/** One call, from admission to the last byte of the response. */
export class Exchange {
  readonly call: Call;

  private readonly parts: ExchangeParts;

  private readonly abort = new AbortController();

  private readonly attempts: CallAttempts;

  private readonly metering: CallMetering;

  private readonly responseRelay: ResponseRelay;

  private readonly onEnd: () => void;

  private cancellation: RelayError | undefined;

  constructor(call: Call, parts: ExchangeParts, onEnd: () => void) {
    this.call = call;
    this.parts = parts;
    this.onEnd = onEnd;
    const metering = new CallMetering(parts.meter, call);
    this.metering = metering;
    this.attempts = new CallAttempts(call, parts, metering, this.abort.signal);
    if (call.kind === WorkKind.Service) {
      this.responseRelay = new ServiceRelay(call, parts, this.attempts, metering);
    } else {
      this.responseRelay = call.isStreaming
        ? new ModelStreamRelay(call, parts, this.attempts, metering)
        : new BufferedModelRelay(call, parts, this.attempts, metering);
    }
  }

  /** Cancels the exchange, and with it the call at the endpoint, for the given reason. */
  cancel(error: RelayError): void {
    this.cancellation ??= error;
    this.abort.abort(error);
  }

  /** Runs the call and writes its response or its failure. Never rejects. */
  async run(writer: ResponseWriter): Promise<void> {
    const cancelDeadline = this.startDeadlineTimer();
    this.attempts.onSend = () => writer.recordPassedOn();
    try {
      const ticket = await this.parts.admission.admit(this.call, this.abort.signal);
      try {
        this.metering.attachTicket(ticket);
        this.parts.retryBudget.recordCall();
        await this.responseRelay.relay(writer);
      } finally {
        ticket.release();
      }
    } catch (error) {
      const isResultUnknown = hasFailureKind(error, FailureKind.ResultUnknown);
      await writer.fail({
        failure: failureOf(isResultUnknown ? error : (this.cancellation ?? error)),
        requestIdentifier: this.call.requestIdentifier,
        notRun: !isResultUnknown && !this.attempts.mayHaveRun,
      });
    } finally {
      cancelDeadline();
      this.onEnd();
    }
  }

  /** The deadline covers admission and all attempts together. */
  private startDeadlineTimer(): () => void {
    const { arrivalMilliseconds, deadlineMilliseconds } = this.call;
    const remainingMilliseconds = deadlineMilliseconds - this.parts.clock.monotonicMilliseconds();
    return this.parts.clock.schedule(Math.max(0, remainingMilliseconds), () => {
      const limitMilliseconds = deadlineMilliseconds - arrivalMilliseconds;
      this.cancel(new RelayError({ kind: FailureKind.DeadlineExceeded, limitMilliseconds }));
    });
  }
}
