import { z } from 'zod';

import { EngineRole } from './EngineRole.js';

/** Schema of an engine's response to `GET /load`. */
export const loadReportSchema = z.object({
  /** Calls in the batch. */
  running: z.number().nonnegative(),
  /** Calls that wait for a batch slot. */
  waiting: z.number().nonnegative(),
  /** Batch slots in total. */
  slots: z.number().positive(),
  /** Prompt tokens received and not yet processed. */
  waiting_prefill_tokens: z.number().nonnegative(),
  /** Prompt tokens per second, measured while prompts were processed. */
  prefill_rate: z.number().positive(),
  /** Output tokens per second over all streams, measured while the batch was in use. */
  decode_rate: z.number().positive(),
  /** Average time of a call in the batch, in milliseconds. */
  call_milliseconds: z.number().nonnegative(),
  /** Age of the sample when the response was sent, in milliseconds. */
  age_milliseconds: z.number().nonnegative().default(0),
  role: z.enum(Object.values(EngineRole)).optional(),
  /** True while the engine carries out an order and accepts no calls. */
  is_changing: z.boolean().default(false),
});

/** Load of an engine at the time of a report. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  readonly waitingPrefillTokens: number;
  readonly prefillRate: number;
  readonly decodeRate: number;
  readonly callMilliseconds: number;
  /** Absent if the engine does not report its role. */
  readonly role?: EngineRole;
  readonly isChanging?: boolean;
  /** When the engine took the sample, on the monotonic clock of this instance. */
  readonly sampledMilliseconds: number;
}

/** Decodes the body of a load report received at the given time. Throws if it is malformed. */
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
    sampledMilliseconds: arrivedMilliseconds - report.age_milliseconds,
  };
}

const DEFAULT_PREFILL_RATE = 20_000;
const DEFAULT_DECODE_RATE = 500;
const MILLISECONDS_PER_SECOND = 1000;

/** A call that this instance sent after the engine's last report was sampled. */
interface UnreportedCall {
  readonly sentMilliseconds: number;
  prefillTokens: number;
}

/**
 * Estimates the current load of an engine from its last report, the work that it has completed since
 * then at the reported rates, and the calls that this instance has sent since then.
 */
export class EngineLoad {
  private report: LoadReport | undefined;

  private unreported: UnreportedCall[] = [];

  private endedSinceReport = 0;

  get lastReport(): LoadReport | undefined {
    return this.report;
  }

  get prefillRate(): number {
    return this.report?.prefillRate ?? DEFAULT_PREFILL_RATE;
  }

  get decodeRate(): number {
    return this.report?.decodeRate ?? DEFAULT_DECODE_RATE;
  }

  /** Replaces the report. A report that is not newer than the present one is ignored. */
  update(report: LoadReport): void {
    if (
      this.report !== undefined &&
      report.sampledMilliseconds <= this.report.sampledMilliseconds
    ) {
      return;
    }
    this.report = report;
    this.unreported = this.unreported.filter(
      (call) => call.sentMilliseconds > report.sampledMilliseconds,
    );
    this.endedSinceReport = 0;
  }

  /** Counts a call as sent. Returns a function that counts it as ended. */
  startCall(prefillTokens: number, nowMilliseconds: number): () => void {
    const call = { sentMilliseconds: nowMilliseconds, prefillTokens };
    this.unreported.push(call);
    return () => {
      const index = this.unreported.indexOf(call);
      if (index >= 0) {
        this.unreported.splice(index, 1);
      } else {
        this.endedSinceReport += 1;
      }
    };
  }

  /** Expected time until the engine starts to process a call that is sent now, in milliseconds. */
  queueWaitMilliseconds(nowMilliseconds: number): number {
    let pendingTokens = this.report?.waitingPrefillTokens ?? 0;
    let lastMilliseconds = this.report?.sampledMilliseconds ?? nowMilliseconds;
    const tokensPerMillisecond = this.prefillRate / MILLISECONDS_PER_SECOND;
    for (const call of this.unreported) {
      pendingTokens = Math.max(
        0,
        pendingTokens - (call.sentMilliseconds - lastMilliseconds) * tokensPerMillisecond,
      );
      pendingTokens += call.prefillTokens;
      lastMilliseconds = call.sentMilliseconds;
    }
    pendingTokens = Math.max(
      0,
      pendingTokens - (nowMilliseconds - lastMilliseconds) * tokensPerMillisecond,
    );
    return pendingTokens / tokensPerMillisecond + this.slotWaitMilliseconds();
  }

  /** Used fraction of the batch; above 1 if calls wait. Each stream slows down as the batch fills. */
  get occupancy(): number {
    if (this.report === undefined) {
      return 0;
    }
    const { running, waiting, slots } = this.report;
    return Math.max(0, running + waiting + this.unreported.length - this.endedSinceReport) / slots;
  }

  /** Estimated number of free batch slots; infinite before the first report. */
  get freeSlots(): number {
    if (this.report === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    return Math.max(0, Math.ceil(this.report.slots * (1 - this.occupancy)));
  }

  /** Expected time to decode the given number of tokens beside the running streams, in milliseconds. */
  decodeMilliseconds(tokens: number): number {
    const streamCount = 1 + this.occupancy * (this.report?.slots ?? 0);
    return (tokens * streamCount * MILLISECONDS_PER_SECOND) / this.decodeRate;
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
