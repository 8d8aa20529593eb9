import type { AdmissionTicket } from './AdmissionPolicy.js';
import type { Call } from 'hickoryrelay-link/Call';
import type { CallFigures, CallMeter, MeteredCall } from 'hickoryrelay-usage/CallMeter';

/** Meters one call over all its attempts: opened before the first is sent, closed once. */
export class CallMetering {
  private readonly meter: CallMeter;

  private readonly call: Call;

  private metered: MeteredCall | undefined;

  private ticket: AdmissionTicket | undefined;

  private isClosed = false;

  constructor(meter: CallMeter, call: Call) {
    this.meter = meter;
    this.call = call;
  }

  /** Lets admission know of the first token and of the length of the answer. */
  follow(ticket: AdmissionTicket): void {
    this.ticket = ticket;
  }

  /** Records that the call is about to be sent to the endpoint. */
  sendTo(endpoint: string): void {
    if (this.metered === undefined) {
      this.metered = this.meter.open(this.call, endpoint);
    } else {
      this.metered.moveTo(endpoint);
    }
  }

  progress(completionTokens: number): void {
    this.ticket?.recordFirstChunk();
    this.metered?.progress(completionTokens);
  }

  /** Closes the record if one is open. Only the first call has an effect. */
  async close(figures: CallFigures): Promise<void> {
    if (!this.isClosed) {
      this.isClosed = true;
      if (figures.completionTokens > 0) {
        this.ticket?.settle(figures.completionTokens);
      }
      await this.metered?.close(figures);
    }
  }
}
