import { FailureKind } from 'hickoryrelay/Failure';
import { failureOf, RelayError } from 'hickoryrelay/RelayError';

import type { Clock } from 'hickoryrelay/Clock';
import type { Endpoint } from 'hickoryrelay-endpoint/Endpoint';
import type { AnswerStream } from 'hickoryrelay-link/AnswerStream';
import type { Call } from 'hickoryrelay-link/Call';
import type { Fleet } from 'hickoryrelay-zone/Fleet';
import type { SelectionPolicy } from 'hickoryrelay-zone/SelectionPolicy';
import type { EndpointCall } from 'hickoryrelay-zone/EndpointCall';
import type { AdmissionPolicy, AdmissionTicket } from './AdmissionPolicy.js';
import type { AnswerWriter } from './AnswerWriter.js';
import type { EndpointLinks } from './EndpointLinks.js';

/** What an exchange needs of its instance. */
export interface ExchangeParts {
  readonly admission: AdmissionPolicy;
  readonly selection: SelectionPolicy;
  readonly fleet: Fleet;
  readonly links: EndpointLinks;
  readonly clock: Clock;
  /** Begins an attempt at an endpoint, so that its load, health and limit are learned. */
  readonly begin: (endpoint: Endpoint, call: Call) => EndpointCall;
}

const RETRY_AFTER_SECONDS = 1;

interface Attempt {
  readonly answer: AnswerStream;
  readonly endpointCall: EndpointCall;
}

/** One call from admission to the last byte of the answer. */
export class Exchange {
  readonly call: Call;

  private readonly parts: ExchangeParts;

  private readonly abort = new AbortController();

  private mayHaveRun = false;

  private cancelFailure: RelayError | undefined;

  private readonly onEnd: () => void;

  constructor(call: Call, parts: ExchangeParts, onEnd: () => void) {
    this.call = call;
    this.parts = parts;
    this.onEnd = onEnd;
  }

  /** Ends the exchange early, for the given reason. */
  cancel(error: RelayError): void {
    this.cancelFailure ??= error;
    this.abort.abort();
  }

  /** Runs the call and writes its answer, or its failure. Never rejects. */
  async run(writer: AnswerWriter): Promise<void> {
    try {
      const ticket = await this.parts.admission.admit(this.call, this.abort.signal);
      try {
        await this.relay(writer, ticket);
      } finally {
        ticket.release();
      }
    } catch (error) {
      await writer.fail({
        failure: failureOf(this.cancelFailure ?? error),
        requestIdentifier: this.call.requestIdentifier,
        notRun: !this.mayHaveRun,
      });
    } finally {
      this.onEnd();
    }
  }

  private async relay(writer: AnswerWriter, ticket: AdmissionTicket): Promise<void> {
    const { answer, endpointCall } = await this.firstAnswer();
    try {
      writer.begin(answer.status, answer.contentType);
      for await (const piece of answer.pieces) {
        ticket.firstPiece();
        endpointCall.firstPiece();
        await writer.write(piece);
      }
      endpointCall.end(true);
      await writer.end();
    } catch (error) {
      endpointCall.end(this.outcomeOf(error));
      throw error;
    }
  }

  /** Tries candidates until one answers. Only calls that cannot do harm twice are tried again. */
  private async firstAnswer(): Promise<Attempt> {
    let lastError: RelayError | undefined;
    for (const endpoint of this.parts.selection.candidates(this.call, this.parts.fleet)) {
      try {
        return await this.attempt(endpoint);
      } catch (error) {
        this.assertMayRetry(error);
        lastError = new RelayError(failureOf(error), error);
      }
    }
    throw (
      lastError ??
      new RelayError({
        kind: FailureKind.NoEndpoint,
        className: this.call.className,
        retryAfterSeconds: RETRY_AFTER_SECONDS,
      })
    );
  }

  private async attempt(endpoint: Endpoint): Promise<Attempt> {
    const endpointCall = this.parts.begin(endpoint, this.call);
    try {
      const link = this.parts.links.linkTo(endpoint);
      const answer = await link.send(this.call, this.abort.signal);
      this.mayHaveRun = true;
      return { answer, endpointCall };
    } catch (error) {
      endpointCall.end(this.outcomeOf(error));
      throw error;
    }
  }

  /** Only a failure of the endpoint counts against it. */
  private outcomeOf(error: unknown): false | undefined {
    const isEndpointFailure = failureOf(error).kind === FailureKind.EndpointFailed;
    return isEndpointFailure && !this.abort.signal.aborted ? false : undefined;
  }

  private assertMayRetry(error: unknown): void {
    const failure = failureOf(error);
    const wasSent = failure.kind !== FailureKind.EndpointFailed || failure.mayHaveRun;
    this.mayHaveRun ||= wasSent;
    if (this.abort.signal.aborted) {
      throw new RelayError(failure, error);
    }
    if (wasSent && !this.call.isIdempotent) {
      throw new RelayError(
        {
          kind: FailureKind.ResultUnknown,
          requestIdentifier: this.call.requestIdentifier,
          reason: 'the endpoint did not answer',
        },
        error,
      );
    }
  }
}
