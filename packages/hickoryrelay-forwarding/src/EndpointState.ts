import { EndpointAvailability } from 'hickoryrelay-endpoint/EndpointAvailability';
import { EndpointSpeed } from 'hickoryrelay-workload/EndpointSpeed';
import { StaleFigure } from 'hickoryrelay-workload/StaleFigure';

import { incarnationHash } from './EndpointRecord.js';

import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerLoad, PeerLoads } from './PeerLoads.js';
import type { EndpointLoad } from './PeerMessage.js';
import type { Estimate } from 'hickoryrelay-workload/Estimate';
import type { EndpointLoadEstimates } from 'hickoryrelay-workload/WorkloadModel';

/** An endpoint with requests in flight that sends nothing for this long counts as unresponsive. */
const UNRESPONSIVE_MILLISECONDS = 600;

/** Weight of a new sample in the moving averages of an endpoint. */
const SAMPLE_WEIGHT = 0.25;

/** Time constant by which averages decay to zero, so that an avoided endpoint is tried again. */
const DECAY_MILLISECONDS = 2000;

const CONSECUTIVE_FAILURES_TO_EJECT = 3;

const MINIMUM_EJECTION_MILLISECONDS = 700;
const MAXIMUM_EJECTION_MILLISECONDS = 6000;

/**
 * A crashed endpoint starts again as a new incarnation, and its registration expires after about
 * three heartbeats.
 */
const CRASH_EJECTION_MILLISECONDS = 3000;

/**
 * The load of an endpoint returns to its average in this fraction of the time for which a request
 * occupies it. Of the fractions from 1 to 1/4, 1/3 gave the fewest requests to full endpoints in the
 * test fleets of 8 to 640 instances with reports of 0.1 to 1 s.
 */
const TURNOVER_FRACTION = 1 / 3;

/** Time in which the prefill queue of an engine changes: about one long prompt. */
const PREFILL_TURNOVER_MILLISECONDS = 400;

/** Tokens that a response is expected to have, besides those of the prompt. */
const EXPECTED_OUTPUT_TOKENS = 200;

/** Arrivals and ends both add to the variance of the unreported load. */
const VARIANCE_FACTOR = 2;

/** An exponentially weighted moving average that decays to zero while there are no samples. */
class DecayingAverage {
  private value = 0;

  private atMilliseconds = 0;

  add(sample: number, now: number): void {
    const decayed = this.read(now);
    this.value = decayed + (sample - decayed) * SAMPLE_WEIGHT;
    this.atMilliseconds = now;
  }

  read(now: number): number {
    return this.value === 0
      ? 0
      : this.value * Math.exp((this.atMilliseconds - now) / DECAY_MILLISECONDS);
  }
}

/** Load and health of one endpoint, as observed by this instance. Times are monotonic. */
export class EndpointState implements EndpointLoadEstimates {
  record: EndpointRecord;

  /** Requests of this instance that are in flight at the endpoint. */
  running = 0;

  /** Tokens being prefilled there for own requests that can still meet their latency target. */
  prefillTokens = 0;

  /** Tokens being prefilled there for own requests that will miss their latency target. */
  latePrefillTokens = 0;

  /** Tokens of own requests in the KV cache of the engine. */
  occupiedTokens = 0;

  private readonly peerRunning = new StaleFigure();

  private lookedUp: PeerLoad | undefined;

  private lookedUpVersion = 0;

  private peersAtMilliseconds = Number.NaN;

  private peersVersion = 0;

  private expectedPeerRunning = 0;

  private peerDeviation = 0;

  private readonly peerPrefillTokens = new StaleFigure();

  /** Outlives the state if the registration is missing for a while. */
  readonly availability: EndpointAvailability;

  private readonly peers: PeerLoads;

  /** Hash of the incarnation, which identifies the endpoint in messages between instances. */
  readonly hash: number;

  /** Speed of this incarnation, as learned by all instances. */
  readonly speed: EndpointSpeed;

  private readonly excessDelayAverage = new DecayingAverage();

  private readonly failureAverage = new DecayingAverage();

  private consecutiveFailures = 0;

  private consecutiveEjections = 0;

  private ejectedUntilMilliseconds = 0;

  private inactiveSinceMilliseconds: number | undefined;

  constructor(
    record: EndpointRecord,
    peers: PeerLoads,
    availability = new EndpointAvailability(),
    speed = new EndpointSpeed(incarnationHash(record), record.service),
  ) {
    this.record = record;
    this.peers = peers;
    this.availability = availability;
    this.hash = speed.endpoint;
    this.speed = speed;
  }

  /** Requests in flight at the endpoint, including the last reported load of peers. */
  get totalRunning(): number {
    return this.running + this.peerLoad.running;
  }

  /**
   * Requests in flight at the endpoint now, as expected: those of this instance, and those that peers
   * have reported, corrected by what has most likely changed since.
   */
  expectedRunning(now: number): number {
    this.updatePeers(now);
    return this.running + this.expectedPeerRunning;
  }

  /** Standard deviation of the requests of peers that have begun or ended since their reports. */
  runningDeviation(now: number): number {
    this.updatePeers(now);
    return this.peerDeviation;
  }

  /** Requests that the other instances of the zone have sent to the service since their reports. */
  unreportedRequests(now: number): number {
    return this.speed.work.expectedPeerRequests(this.peers.ageMilliseconds(now), now);
  }

  /** Tokens in the KV cache for requests in flight, including the last reported ones of peers. */
  get totalOccupiedTokens(): number {
    return this.occupiedTokens + this.peerLoad.occupiedTokens;
  }

  estimateRunning(now: number): Estimate {
    const value = this.expectedRunning(now);
    return {
      value,
      ageMilliseconds: this.peers.ageMilliseconds(now),
      relativeError: value === 0 ? 1 : Math.min(1, this.runningDeviation(now) / value),
    };
  }

  estimatePrefillTokens(now: number): Estimate {
    const ageMilliseconds = this.peers.ageMilliseconds(now);
    return {
      value: this.expectedPrefillTokens(true, now),
      ageMilliseconds,
      relativeError: Math.min(1, ageMilliseconds / PREFILL_TURNOVER_MILLISECONDS),
    };
  }

  /** As `queuedPrefillTokens`, corrected by what has most likely changed since the reports of peers. */
  expectedPrefillTokens(isLate: boolean, now: number): number {
    const { prefillTokens: peerTokens, latePrefillTokens: peerLateTokens } = this.peerLoad;
    const expectedPeerTokens = this.peerPrefillTokens.expect(
      peerTokens,
      this.peers.ageMilliseconds(now),
      PREFILL_TURNOVER_MILLISECONDS / this.speed.relative,
      now,
    );
    return (
      this.prefillTokens +
      expectedPeerTokens +
      (isLate ? this.latePrefillTokens + peerLateTokens : 0)
    );
  }

  /** Load of peers, looked up once for each message. */
  private get peerLoad(): PeerLoad {
    const { version } = this.peers;
    if (this.lookedUp === undefined || this.lookedUpVersion !== version) {
      this.lookedUp = this.peers.loadOf(this.hash);
      this.lookedUpVersion = version;
    }
    return this.lookedUp;
  }

  /** Computes the figures of peers, once for each time and message. */
  private updatePeers(now: number): void {
    const { version } = this.peers;
    if (this.peersAtMilliseconds === now && this.peersVersion === version) {
      return;
    }
    this.peersAtMilliseconds = now;
    this.peersVersion = version;
    // Otherwise a negative report would leave the costs of the endpoint undefined.
    const running = Math.max(0, this.peerLoad.running);
    const age = this.peers.ageMilliseconds(now);
    const residence = this.residenceMilliseconds;
    this.expectedPeerRunning = this.peerRunning.expect(
      running,
      age,
      residence * TURNOVER_FRACTION,
      now,
    );
    this.peerDeviation =
      running === 0 ? 0 : Math.sqrt((VARIANCE_FACTOR * running * age) / residence);
  }

  /** Time for which a request occupies the endpoint. */
  private get residenceMilliseconds(): number {
    return this.speed.work.residenceMilliseconds / this.speed.relative;
  }

  /**
   * Tokens of all instances that are prefilled before a new request. Requests that will miss their
   * latency target come last.
   */
  queuedPrefillTokens(isLate: boolean): number {
    const { prefillTokens: peerTokens, latePrefillTokens: peerLateTokens } = this.peerLoad;
    return this.prefillTokens + peerTokens + (isLate ? this.latePrefillTokens + peerLateTokens : 0);
  }

  /** Adds tokens to the pending prefill work. Returns a function that removes them. */
  reservePrefill(tokens: number, isLate: boolean): () => void {
    if (isLate) {
      this.latePrefillTokens += tokens;
      return () => {
        this.latePrefillTokens -= tokens;
      };
    }
    this.prefillTokens += tokens;
    return () => {
      this.prefillTokens -= tokens;
    };
  }

  /** Adds a request with a prompt to the KV cache. Returns a function that removes it. */
  reserveCache(promptTokens: number): () => void {
    const tokens = promptTokens + EXPECTED_OUTPUT_TOKENS;
    this.occupiedTokens += tokens;
    return () => {
      this.occupiedTokens -= tokens;
    };
  }

  /** The load that this instance puts on the endpoint, as reported to peers. */
  get ownLoad(): EndpointLoad {
    const { hash, running, prefillTokens, latePrefillTokens, occupiedTokens } = this;
    return { endpoint: hash, running, prefillTokens, latePrefillTokens, occupiedTokens };
  }

  beginRequest(now: number): void {
    this.running += 1;
    this.inactiveSinceMilliseconds ??= now;
  }

  finishRequest(): void {
    this.running -= 1;
    if (this.running === 0) {
      this.inactiveSinceMilliseconds = undefined;
    }
  }

  /** Records that data has arrived from the endpoint. */
  recordActivity(now: number): void {
    this.inactiveSinceMilliseconds = this.running > 0 ? now : undefined;
  }

  /** Records how much later than expected a response began. */
  recordDelay(excessMilliseconds: number, now: number): void {
    this.excessDelayAverage.add(excessMilliseconds, now);
  }

  recordSuccess(now: number): void {
    this.consecutiveFailures = 0;
    this.consecutiveEjections = 0;
    this.failureAverage.add(0, now);
  }

  /** Records a failed request. Consecutive failures eject the endpoint. */
  recordFailure(now: number): void {
    this.failureAverage.add(1, now);
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures >= CONSECUTIVE_FAILURES_TO_EJECT) {
      this.eject(now);
    }
  }

  /** Excludes the endpoint from placement, for twice as long on each ejection without a success. */
  eject(now: number): void {
    this.consecutiveFailures = 0;
    const durationMilliseconds = MINIMUM_EJECTION_MILLISECONDS * 2 ** this.consecutiveEjections;
    this.consecutiveEjections += 1;
    this.ejectedUntilMilliseconds =
      now + Math.min(durationMilliseconds, MAXIMUM_EJECTION_MILLISECONDS);
  }

  /** As `eject`, unless the endpoint is excluded already. */
  ejectOnce(now: number): void {
    if (!this.isEjected(now)) {
      this.eject(now);
    }
  }

  /** Excludes a crashed endpoint from placement until it may be back. */
  recordCrash(now: number): void {
    this.failureAverage.add(1, now);
    this.consecutiveFailures = 0;
    this.ejectedUntilMilliseconds = now + CRASH_EJECTION_MILLISECONDS;
  }

  isEjected(now: number): boolean {
    return now < this.ejectedUntilMilliseconds;
  }

  /** True if requests are in flight and the endpoint has sent nothing for too long. */
  isUnresponsive(now: number): boolean {
    const since = this.inactiveSinceMilliseconds;
    return since !== undefined && now - since > UNRESPONSIVE_MILLISECONDS;
  }

  /** Moving average of the fraction of failed requests, from 0 to 1. */
  failureRate(now: number): number {
    return this.failureAverage.read(now);
  }

  /** Moving average of the delay of responses beyond the expected one. */
  excessDelayMilliseconds(now: number): number {
    return this.excessDelayAverage.read(now);
  }
}
