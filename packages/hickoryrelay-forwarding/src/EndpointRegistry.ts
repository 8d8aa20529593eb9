import { hashString } from 'hickoryrelay/RendezvousUtils';
import { EndpointAvailability } from 'hickoryrelay-endpoint/EndpointAvailability';
import { EndpointRateLimit } from 'hickoryrelay-endpoint/EndpointRateLimit';
import { UndividedRateLimits } from 'hickoryrelay-endpoint/RateLimitShares';
import { RateLimitTokens } from 'hickoryrelay-endpoint/RateLimitTokens';
import { WorkloadModel } from 'hickoryrelay-workload/WorkloadModel';

import { EndpointPhase, EngineStage, incarnationHash, incarnationKey } from './EndpointRecord.js';
import { EndpointState } from './EndpointState.js';

import type { EndpointRecord } from './EndpointRecord.js';
import type { PeerLoads } from './PeerLoads.js';
import type { EndpointLoad } from './PeerMessage.js';
import type { RateLimitShares } from 'hickoryrelay-endpoint/RateLimitShares';

/**
 * Endpoints without a registration whose availability is kept. A registration may be missing while
 * the endpoint still runs, as after an outage of the store.
 */
const MAXIMUM_UNREGISTERED = 256;

/** The endpoints of all services, with their observed load and health. */
export class EndpointRegistry {
  private states = new Map<string, EndpointState>();

  private byService = new Map<string, EndpointState[]>();

  private byHash = new Map<number, EndpointState>();

  private byIdentifier = new Map<string, EndpointState>();

  /** By incarnation; those that were registered last come last. */
  private readonly availabilities = new Map<string, EndpointAvailability>();

  /** By address. One address may have several registrations, but has one endpoint. */
  private readonly tokens = new Map<string, RateLimitTokens>();

  private readonly peers: PeerLoads;

  private readonly shares: RateLimitShares;

  /** What is known of the work at the endpoints. */
  readonly workload = new WorkloadModel((hash) => this.byHash.get(hash));

  constructor(peers: PeerLoads, shares: RateLimitShares = new UndividedRateLimits()) {
    this.peers = peers;
    this.shares = shares;
  }

  /** The rate limits of the registered endpoints, including those without a limit. */
  *rateLimits(): Generator<EndpointRateLimit, void, void> {
    for (const { availability } of this.states.values()) {
      yield availability.rateLimit;
    }
  }

  /** The registered endpoint with a hash of its incarnation. */
  findByHash(hash: number): EndpointState | undefined {
    return this.byHash.get(hash);
  }

  /** The registered endpoint with an identifier. */
  findByIdentifier(identifier: string): EndpointState | undefined {
    return this.byIdentifier.get(identifier);
  }

  /** The registration that an endpoint has now, of whichever incarnation; that of the record if there is none. */
  registeredRecord(record: EndpointRecord): EndpointRecord {
    return this.byIdentifier.get(record.identifier)?.record ?? record;
  }

  /** The load that this instance puts on each endpoint it uses. */
  *ownLoads(): Generator<EndpointLoad, void, void> {
    for (const { ownLoad } of this.states.values()) {
      if (ownLoad.running > 0) {
        yield ownLoad;
      }
    }
  }

  /**
   * Replaces the list of endpoints. Keeps the states of known incarnations. Returns the new
   * incarnations of endpoints that took no requests.
   */
  replace(records: readonly EndpointRecord[]): EndpointRecord[] {
    const restarted = records.filter((record) => this.isRestartOfUnavailable(record));
    const states = new Map<string, EndpointState>();
    const byService = new Map<string, EndpointState[]>();
    for (const record of records) {
      const key = incarnationKey(record);
      const availability = this.retainAvailability(record);
      const state = this.states.get(key) ?? this.createState(record, availability);
      state.record = record;
      states.set(key, state);
      byService.set(record.service, [...(byService.get(record.service) ?? []), state]);
    }
    this.states = states;
    this.byService = byService;
    this.byHash = new Map([...states.values()].map((state) => [state.hash, state]));
    this.byIdentifier = new Map(
      [...states.values()].map((state) => [state.record.identifier, state]),
    );
    this.workload.retain(this.byHash);
    this.discardAvailabilities();
    return restarted;
  }

  /** The states of all registrations with an address. Several exist if the address is reused. */
  atAddress(address: string): EndpointState[] {
    return [...this.states.values()].filter(({ record }) => record.address === address);
  }

  /**
   * The availabilities of endpoints with an address whose registrations are missing. `identifier`
   * selects the incarnations of one endpoint; undefined stands for all.
   */
  unregisteredAt(address: string, identifier: string | undefined): EndpointAvailability[] {
    return [...this.availabilities].flatMap(([key, availability]) =>
      !this.states.has(key) &&
      key.endsWith(`/${address}`) &&
      (identifier === undefined || key.startsWith(`${identifier}/`))
        ? [availability]
        : [],
    );
  }

  /** True if an endpoint that is registered takes requests from this instance. */
  allowsRequest(record: EndpointRecord, now: number): boolean {
    return this.availabilities.get(incarnationKey(record))?.allowsRequest(now) ?? false;
  }

  /** Takes the token of a request to a registered endpoint. Returns false if it takes none. */
  tryTakeRequest(record: EndpointRecord, now: number): boolean {
    const availability = this.availabilities.get(incarnationKey(record));
    return availability?.allowsRequest(now) === true && availability.rateLimit.tryTake(now);
  }

  /** Time until an endpoint of a service takes requests; infinite if all are leaving. */
  waitMilliseconds(service: string, now: number): number {
    const waits = this.runningEndpoints(service).map(({ availability }) =>
      availability.waitMilliseconds(now),
    );
    return Math.min(Number.POSITIVE_INFINITY, ...waits);
  }

  /**
   * Requests per second that this instance may send to the endpoints of a service; infinite if one that
   * takes requests has no rate limit.
   */
  tokensPerSecond(service: string, now: number): number {
    return this.runningEndpoints(service)
      .filter(({ availability }) => availability.backoffWaitMilliseconds(now) === 0)
      .reduce((sum, { availability }) => sum + availability.rateLimit.rateOfShare(now), 0);
  }

  /**
   * Endpoints of a service that accept new requests. Unconfirmed endpoints may have left, so they
   * are included only while they outnumber the ready ones, which would otherwise be overloaded.
   */
  readyEndpoints(service: string): EndpointState[] {
    const states = this.byService.get(service) ?? [];
    const inPhase = (phase: EndpointPhase) => states.filter(({ record }) => record.phase === phase);
    const ready = inPhase(EndpointPhase.Ready);
    const unconfirmed = inPhase(EndpointPhase.Unconfirmed);
    return unconfirmed.length > ready.length ? [...ready, ...unconfirmed] : ready;
  }

  /** The ready endpoints of a service apart from prefill engines, which run no request alone. */
  private runningEndpoints(service: string): EndpointState[] {
    return this.readyEndpoints(service).filter(
      ({ record }) => record.stage !== EngineStage.Prefill,
    );
  }

  private createState(record: EndpointRecord, availability: EndpointAvailability): EndpointState {
    const speed = this.workload.track(incarnationHash(record), record.service);
    return new EndpointState(record, this.peers, availability, speed);
  }

  private isRestartOfUnavailable(record: EndpointRecord): boolean {
    if (this.availabilities.has(incarnationKey(record))) {
      return false;
    }
    const predecessors = [...this.availabilities].filter(([key]) =>
      key.startsWith(`${record.identifier}/`),
    );
    return predecessors.some(([, availability]) => availability.isUnavailable);
  }

  /** Returns the availability of an incarnation, as the one that was registered last. */
  private retainAvailability(record: EndpointRecord): EndpointAvailability {
    const key = incarnationKey(record);
    const availability = this.availabilities.get(key) ?? this.createAvailability(record);
    this.availabilities.delete(key);
    this.availabilities.set(key, availability);
    return availability;
  }

  /**
   * Creates the availability of an endpoint. Another one, or an earlier incarnation, may have had the
   * address before; it is not taken into account if the start of the endpoint is not known.
   */
  private createAvailability(record: EndpointRecord): EndpointAvailability {
    const { address, startedMilliseconds } = record;
    const rateLimit = new EndpointRateLimit(
      this.shares,
      incarnationHash(record),
      this.tokensFor(address),
    );
    const [, predecessor] =
      [...this.availabilities].findLast(([key]) => key.endsWith(`/${address}`)) ?? [];
    return startedMilliseconds === 0 || predecessor === undefined
      ? new EndpointAvailability(rateLimit)
      : predecessor.succeed(startedMilliseconds, rateLimit);
  }

  private tokensFor(address: string): RateLimitTokens {
    const tokens = this.tokens.get(address) ?? new RateLimitTokens(hashString(address));
    this.tokens.set(address, tokens);
    return tokens;
  }

  private discardAvailabilities(): void {
    const surplus = this.availabilities.size - this.states.size - MAXIMUM_UNREGISTERED;
    for (const key of [...this.availabilities.keys()].slice(0, Math.max(0, surplus))) {
      this.availabilities.delete(key);
    }
    if (surplus > 0) {
      this.discardTokens();
    }
  }

  private discardTokens(): void {
    const addresses = new Set(
      [...this.availabilities.keys()].map((key) => key.slice(key.lastIndexOf('/') + 1)),
    );
    for (const address of this.tokens.keys()) {
      if (!addresses.has(address)) {
        this.tokens.delete(address);
      }
    }
  }
}
