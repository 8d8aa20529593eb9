import { PeakWindow } from './PeakWindow.js';

/** Work of all instances at the engines of one service, at one moment. */
export interface EngineWork {
  /** Prefill engines that are reading a prompt. */
  readonly busyPrefillEngines: number;
  /** Requests in flight at decode engines. */
  readonly runningRequests: number;
  /** Tokens of the shared prompt segments that were used recently. */
  readonly sharedTokens: number;
}

/** Size of one engine. */
export interface EngineSize {
  /** Requests that run at the same time. */
  readonly slots: number;
  readonly cacheCapacityTokens: number;
}

/** Engines that a service needs at each stage, without a reserve for lost ones. */
export interface RequiredEngines {
  readonly prefill: number;
  readonly decode: number;
}

/** About half the start of an engine: shorter peaks end before an ordered engine could serve them. */
const SMOOTHING_MILLISECONDS = 2000;

/**
 * The mix of prompts and output swings within minutes, and engines that were handed back start again with
 * empty caches. With 20 s, engines were ordered and handed back by turns, and callers were served less.
 */
const PEAK_WINDOW_MILLISECONDS = 300_000;

/** Time with work after which the observed peak is taken for the demand. */
const OBSERVATION_MILLISECONDS = 120_000;

/**
 * Fraction of the time in which a prefill engine may be busy. At a higher one, a long prompt often
 * waits for another one, and the wait for two of them exceeds a typical latency target.
 */
const PREFILL_UTILIZATION = 0.5;

/** Fraction of the slots of a decode engine in use, above which batches delay the first token. */
const DECODE_UTILIZATION = 0.5;

/** Fraction of the KV cache that holds shared segments. The rest holds running requests. */
const SHARED_CACHE_FRACTION = 0.6;

/**
 * Estimates how many engines a service needs, from the peaks of the observed work. It answers loads
 * whose ratio of prompts to output shifts within seconds, faster than engines start or change their
 * stage, so the peaks of both stages count.
 */
export class EngineDemand {
  private readonly busyPrefillEngines = new PeakWindow(
    SMOOTHING_MILLISECONDS,
    PEAK_WINDOW_MILLISECONDS,
  );

  private readonly runningRequests = new PeakWindow(
    SMOOTHING_MILLISECONDS,
    PEAK_WINDOW_MILLISECONDS,
  );

  private readonly sharedTokens = new PeakWindow(SMOOTHING_MILLISECONDS, PEAK_WINDOW_MILLISECONDS);

  private startedMilliseconds: number | undefined;

  private peak: EngineWork = { busyPrefillEngines: 0, runningRequests: 0, sharedTokens: 0 };

  /** Records the current work. The time before the first request does not count as observed. */
  observe(work: EngineWork, now: number): void {
    if (work.busyPrefillEngines > 0 || work.runningRequests > 0) {
      this.startedMilliseconds ??= now;
    }
    this.peak = {
      busyPrefillEngines: this.busyPrefillEngines.observe(work.busyPrefillEngines, now),
      runningRequests: this.runningRequests.observe(work.runningRequests, now),
      sharedTokens: this.sharedTokens.observe(work.sharedTokens, now),
    };
  }

  /** The engines for the recent peak; undefined until it has been observed for long enough. */
  required({ slots, cacheCapacityTokens }: EngineSize, now: number): RequiredEngines | undefined {
    const { startedMilliseconds, peak } = this;
    if (startedMilliseconds === undefined || now - startedMilliseconds < OBSERVATION_MILLISECONDS) {
      return undefined;
    }
    const cacheEngines =
      cacheCapacityTokens > 0
        ? peak.sharedTokens / (cacheCapacityTokens * SHARED_CACHE_FRACTION)
        : 0;
    return {
      prefill: Math.max(1, peak.busyPrefillEngines / PREFILL_UTILIZATION, cacheEngines),
      decode: Math.max(1, peak.runningRequests / (Math.max(1, slots) * DECODE_UTILIZATION)),
    };
  }
}
