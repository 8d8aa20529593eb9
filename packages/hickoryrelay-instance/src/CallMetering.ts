import type { AdmissionTicket } from 'hickoryrelay-admission/AdmissionPolicy';
import type { Call } from 'hickoryrelay-link/Call';
import type { CallMeter, MeteredCall, TokenCounts } from 'hickoryrelay-usage/CallMeter';

/** Usage metering of one call across all attempts. Opened before the first is sent, closed once. */
export class CallMetering {
  private readonly meter: CallMeter;

  private readonly call: Call;

  private meteredCall: MeteredCall | undefined;

  private ticket: AdmissionTicket | undefined;

  private isClosed = false;

  constructor(meter: CallMeter, call: Call) {
    this.meter = meter;
    this.call = call;
  }

  /** Sets the ticket to notify of the first token and of the length of the response. */
  attachTicket(ticket: AdmissionTicket): void {
    this.ticket = ticket;
  }

  /** Records an attempt, before the call is sent to the endpoint. */
  recordAttempt(endpoint: string): void {
    if (this.meteredCall === undefined) {
      this.meteredCall = this.meter.open(this.call, endpoint);
    } else {
      this.meteredCall.setEndpoint(endpoint);
    }
  }

  progress(completionTokens: number): void {
    this.ticket?.recordFirstChunk();
    this.meteredCall?.progress(completionTokens);
  }

  /** Closes the usage record if one is open. Calling it more than once has no effect. */
  async close(tokenCounts: TokenCounts): Promise<void> {
    if (!this.isClosed) {
      this.isClosed = true;
      if (tokenCounts.completionTokens > 0) {
        this.ticket?.settle(tokenCounts.completionTokens);
      }
      await this.meteredCall?.close(tokenCounts);
    }
  }
}
