import { hashText } from 'hickoryrelay/RendezvousUtils';

import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerLoads } from './PeerLoads.js';
import type { EndpointLoad } from './PeerMessage.js';

/** A request without a sign of life from its endpoint for this long makes it suspect, in ms. */
const SILENCE_MILLISECONDS = 600;

/** Weight of a new sample in the averages of an endpoint. */
const SAMPLE_WEIGHT = 0.25;

/** Averages fade towards what the pool does, so that an endpoint that was avoided is tried again. */
const FADING_MILLISECONDS = 2000;

/** Failures in a row that eject an endpoint. */
const FAILURES_TO_EJECT = 3;

const SHORTEST_EJECTION_MILLISECONDS = 700;
const LONGEST_EJECTION_MILLISECONDS = 6000;

/** An average that fades towards zero while no sample comes. */
class FadingAverage {
  private value = 0;

  private atMilliseconds = 0;

  add(sample: number, now: number): void {
    const faded = this.read(now);
    this.value = faded + (sample - faded) * SAMPLE_WEIGHT;
    this.atMilliseconds = now;
  }

  read(now: number): number {
    return this.value * Math.exp((this.atMilliseconds - now) / FADING_MILLISECONDS);
  }
}

/** What this instance has seen of one endpoint. Times are on the steady clock. */
export class EndpointState {
  record: EndpointRecord;

  /** Requests of this instance that the endpoint runs. */
  running = 0;

  /** Prompt tokens that the endpoint reads for this instance's requests that can be on time. */
  readingTokens = 0;

  /** Prompt tokens that the endpoint reads for this instance's requests that will be late. */
  lateTokens = 0;

  private readonly peers: PeerLoads;

  /** Hash of the incarnation, by which instances tell each other of the endpoint. */
  readonly hash: number;

  private readonly excessDelay = new FadingAverage();

  private readonly failureShare = new FadingAverage();

  private failuresInRow = 0;

  private ejections = 0;

  private ejectedUntilMilliseconds = 0;

  private silentSinceMilliseconds: number | undefined;

  constructor(record: EndpointRecord, peers: PeerLoads) {
    this.record = record;
    this.peers = peers;
    this.hash = hashText(`${record.identifier}/${record.startedMilliseconds}`);
  }

  /** Requests of all instances that the endpoint runs, as far as is known. */
  get allRunning(): number {
    return this.running + this.peers.loadOf(this.hash).running;
  }

  /** Prompt tokens that the endpoint reads for all instances before a request gets its turn. */
  tokensBefore(isLate: boolean): number {
    const { prefillTokens, latePrefillTokens } = this.peers.loadOf(this.hash);
    return this.readingTokens + prefillTokens + (isLate ? this.lateTokens + latePrefillTokens : 0);
  }

  /** Counts tokens that are to be read here. Returns the function that takes them back. */
  reserveReading(tokens: number, isLate: boolean): () => void {
    if (isLate) {
      this.lateTokens += tokens;
      return () => {
        this.lateTokens -= tokens;
      };
    }
    this.readingTokens += tokens;
    return () => {
      this.readingTokens -= tokens;
    };
  }

  /** What this instance has under way here. */
  get ownLoad(): EndpointLoad {
    const { hash, running, readingTokens: prefillTokens, lateTokens: latePrefillTokens } = this;
    return { endpoint: hash, running, prefillTokens, latePrefillTokens };
  }

  begin(now: number): void {
    this.running += 1;
    this.silentSinceMilliseconds ??= now;
  }

  finish(): void {
    this.running -= 1;
    if (this.running === 0) {
      this.silentSinceMilliseconds = undefined;
    }
  }

  /** Records any byte that came from the endpoint. */
  hear(now: number): void {
    this.silentSinceMilliseconds = this.running > 0 ? now : undefined;
  }

  /** Records how much later than usual an answer began, in milliseconds. */
  recordDelay(excessMilliseconds: number, now: number): void {
    this.excessDelay.add(excessMilliseconds, now);
  }

  recordSuccess(now: number): void {
    this.failuresInRow = 0;
    this.ejections = 0;
    this.failureShare.add(0, now);
  }

  /** Records that a request failed at the endpoint; repeated failures eject it for a while. */
  recordFailure(now: number): void {
    this.failureShare.add(1, now);
    this.failuresInRow += 1;
    if (this.failuresInRow >= FAILURES_TO_EJECT) {
      this.eject(now);
    }
  }

  /** Takes the endpoint out of the choice, for longer each time. */
  eject(now: number): void {
    this.failuresInRow = 0;
    const span = SHORTEST_EJECTION_MILLISECONDS * 2 ** this.ejections;
    this.ejections += 1;
    this.ejectedUntilMilliseconds = now + Math.min(span, LONGEST_EJECTION_MILLISECONDS);
  }

  isEjected(now: number): boolean {
    return now < this.ejectedUntilMilliseconds;
  }

  /** True if requests run there and nothing has come from the endpoint for long. */
  isSilent(now: number): boolean {
    const since = this.silentSinceMilliseconds;
    return since !== undefined && now - since > SILENCE_MILLISECONDS;
  }

  /** Recent share of failed requests, from 0 to 1. */
  failures(now: number): number {
    return this.failureShare.read(now);
  }

  /** Recent delay beyond the usual, in milliseconds. */
  delay(now: number): number {
    return this.excessDelay.read(now);
  }
}
