import { z } from 'zod';

import { EngineRole } from './EngineRole.js';

/** Schema of what an engine answers to `GET /load`. */
export const loadReportSchema = z.object({
  /** Calls that are in the batch. */
  running: z.number().nonnegative(),
  /** Calls that wait for a place in the batch. */
  waiting: z.number().nonnegative(),
  /** Places in the batch. */
  slots: z.number().positive(),
  /** Prompt tokens that have arrived and are not yet processed. */
  waiting_prefill_tokens: z.number().nonnegative(),
  /** Prompt tokens a second, measured while prompts were processed. */
  prefill_rate: z.number().positive(),
  /** Output tokens a second over all streams, measured while the batch was in use. */
  decode_rate: z.number().positive(),
  /** Average time that a call spends in the batch, in milliseconds. */
  call_milliseconds: z.number().nonnegative(),
  /** Age of the figures when the answer was sent, in milliseconds. */
  age_milliseconds: z.number().nonnegative().default(0),
  role: z.enum(Object.values(EngineRole)).optional(),
  /** True while the engine carries out an order and takes no work. */
  is_changing: z.boolean().default(false),
});

/** The load of an engine as it last reported it. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly waitingPrefillTokens: number;
  readonly prefillRate: number;
  readonly decodeRate: number;
  readonly callMilliseconds: number;
  /** Absent if the engine does not tell it. */
  readonly role?: EngineRole;
  readonly isChanging?: boolean;
  /** When the figures were taken, on the clock of this instance. */
  readonly takenMilliseconds: number;
}

/** Decodes the body of a load report that arrived at the given time. Throws if it is malformed. */
export function decodeLoadReport(body: unknown, arrivedMilliseconds: number): LoadReport {
  const report = loadReportSchema.parse(body);
  return {
    running: report.running,
    waiting: report.waiting,
    slots: report.slots,
    waitingPrefillTokens: report.waiting_prefill_tokens,
    prefillRate: report.prefill_rate,
    decodeRate: report.decode_rate,
    callMilliseconds: report.call_milliseconds,
    ...(report.role === undefined ? {} : { role: report.role }),
    isChanging: report.is_changing,
    takenMilliseconds: arrivedMilliseconds - report.age_milliseconds,
  };
}

const DEFAULT_PREFILL_RATE = 20_000;
const DEFAULT_DECODE_RATE = 500;
const MILLISECONDS_PER_SECOND = 1000;

/** A call of this instance that an engine's last report cannot include. */
interface SentCall {
  readonly sentMilliseconds: number;
  prefillTokens: number;
}

/**
 * The load of an engine as one instance estimates it: the last report, what has been worked off
 * since then, and the calls that this instance has sent since.
 */
export class EngineLoad {
  private report: LoadReport | undefined;

  private sent: SentCall[] = [];

  private endedSinceReport = 0;

  /** The last report as it was. */
  get lastReport(): LoadReport | undefined {
    return this.report;
  }

  get prefillRate(): number {
    return this.report?.prefillRate ?? DEFAULT_PREFILL_RATE;
  }

  get decodeRate(): number {
    return this.report?.decodeRate ?? DEFAULT_DECODE_RATE;
  }

  /** Takes over a report. An older one than the present is ignored. */
  update(report: LoadReport): void {
    if (this.report !== undefined && report.takenMilliseconds <= this.report.takenMilliseconds) {
      return;
    }
    this.report = report;
    this.sent = this.sent.filter((call) => call.sentMilliseconds > report.takenMilliseconds);
    this.endedSinceReport = 0;
  }

  /** Counts a call as sent. Returns the function that counts it as ended. */
  begin(prefillTokens: number, nowMilliseconds: number): () => void {
    const call = { sentMilliseconds: nowMilliseconds, prefillTokens };
    this.sent.push(call);
    return () => {
      const index = this.sent.indexOf(call);
      if (index >= 0) {
        this.sent.splice(index, 1);
      } else {
        this.endedSinceReport += 1;
      }
    };
  }

  /** Time until a call that is sent now would begin to be processed, in milliseconds. */
  waitMilliseconds(nowMilliseconds: number): number {
    let tokens = this.report?.waitingPrefillTokens ?? 0;
    let last = this.report?.takenMilliseconds ?? nowMilliseconds;
    const perMillisecond = this.prefillRate / MILLISECONDS_PER_SECOND;
    for (const call of this.sent) {
      tokens = Math.max(0, tokens - (call.sentMilliseconds - last) * perMillisecond);
      tokens += call.prefillTokens;
      last = call.sentMilliseconds;
    }
    tokens = Math.max(0, tokens - (nowMilliseconds - last) * perMillisecond);
    return tokens / perMillisecond + this.slotWaitMilliseconds();
  }

  /** Part of the batch that is in use; streams get slower as it fills. */
  get occupancy(): number {
    if (this.report === undefined) {
      return 0;
    }
    const { running, waiting, slots } = this.report;
    return Math.max(0, running + waiting + this.sent.length - this.endedSinceReport) / slots;
  }

  /** Places of the batch that are free as far as this instance knows; many before a report. */
  get freeSlots(): number {
    if (this.report === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    return Math.max(0, Math.ceil(this.report.slots * (1 - this.occupancy)));
  }

  /** Time to decode an answer among the streams that run, in milliseconds. */
  decodeMilliseconds(tokens: number): number {
    const streams = 1 + this.occupancy * (this.report?.slots ?? 0);
    return (tokens * streams * MILLISECONDS_PER_SECOND) / this.decodeRate;
  }

  private slotWaitMilliseconds(): number {
    if (this.report === undefined) {
      return 0;
    }
    const { slots, callMilliseconds } = this.report;
    const excess = this.occupancy * slots - slots + 1;
    return excess <= 0 ? 0 : (excess * callMilliseconds) / slots;
  }
}
