import { hashString } from 'hickoryrelay/RendezvousUtils';
import { IncarnationCheck } from 'hickoryrelay-endpoint/IncarnationCheck';

import { RetrySemantics, servicesOf } from './ForwardingConfiguration.js';

import type { CallDeadline } from './CallDeadline.js';
import type { CallRelayParts } from './CallRelay.js';
import type { CallTrace } from './CallTrace.js';
import type { CapacityAdmission } from './CapacityAdmission.js';
import type { ConfirmedView } from './ConfirmedView.js';
import type { Attempt, EndpointLink, PrefilledPrompt } from './EndpointLink.js';
import type { EndpointNotices } from './EndpointNotices.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { EndpointState } from './EndpointState.js';
import type { EngineCrashDetector } from './EngineCrashDetector.js';
import type { EnginePlacement, PromptSummary } from './EnginePlacement.js';
import type { ForwardedRequest, PromptSegment } from './ForwardedRequest.js';
import type { EngineCapacity } from './ForwardingConfiguration.js';
import type { PrefillRate } from './PrefillRate.js';
import type { PromptCacheDirectory } from './PromptCacheDirectory.js';
import type { AdmissionResult } from './RequestAdmission.js';
import type { ResponseSink } from './ResponseSink.js';
import type { RetryBudgets } from './RetryBudgets.js';
import type { ReturnSchedule } from './ReturnSchedule.js';
import type { QuarantinedGroup, SegmentQuarantine } from './SegmentQuarantine.js';
import type { PlacementContext, ServicePlacement } from './ServicePlacement.js';
import type { ShutdownSchedule } from './ShutdownSchedule.js';
import type { UsageTally } from './UsageTally.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { SoftwareVersion } from 'hickoryrelay-stream/SoftwareVersion';
import type { StreamOrigin, StreamOrigins } from 'hickoryrelay-stream/StreamOrigins';
import type { StreamTarget } from 'hickoryrelay-stream/StreamTarget';

/** The collaborators of a call. */
export interface ForwardedCallParts {
  readonly zone: string;
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly services: ServicePlacement;
  readonly engines: EnginePlacement;
  readonly directory: PromptCacheDirectory;
  readonly prefillRate: PrefillRate;
  readonly link: EndpointLink;
  readonly quarantine: SegmentQuarantine;
  readonly crashDetector: EngineCrashDetector;
  readonly notices: EndpointNotices;
  readonly origins: StreamOrigins;
  readonly budgets: RetryBudgets;
  readonly returns: ReturnSchedule;
  readonly capacity: CapacityAdmission;
  readonly tally: UsageTally;
  /** Absent if requests are not passed on to other instances. */
  readonly relay?: CallRelayParts;
  readonly shutdown: ShutdownSchedule;
  /** The monotonic clock, which does not count suspensions. */
  readonly clock: Clock;
  readonly random: RandomSource;
}

export type AdmittedRequest = AdmissionResult & { readonly kind: 'admitted' };

/** Where a request is sent. */
export interface Destination {
  readonly state: EndpointState;
  /** Expected duration of a local prefill; 0 if there is none. */
  readonly prefillMilliseconds: number;
  /** Tokens of a local prefill; 0 if there is none or a cached segment is fetched. */
  readonly prefillTokens: number;
  /** Present after a remote prefill. */
  readonly prefilledPrompt?: PrefilledPrompt;
  /** Address of an engine from which cached segments of the prompt can be fetched. */
  readonly fetchFrom?: string | undefined;
}

/** What is known of the software version that serves an attempt. */
export interface AttemptVersion {
  /** As registered when the attempt was started; one of its own if the endpoint may be another incarnation. */
  readonly softwareVersion: SoftwareVersion;
  /** As the endpoint is registered now. */
  readonly registeredVersion: SoftwareVersion;
}

/** False if another version than the registered one may have served the attempt. */
function isVersionCertain({ softwareVersion, registeredVersion }: AttemptVersion): boolean {
  return softwareVersion === registeredVersion;
}

/** The state of one call: the request, its limits, the endpoints tried and the events delivered. */
export class CallContext {
  readonly parts: ForwardedCallParts;

  readonly request: ForwardedRequest;

  private currentAdmitted: AdmittedRequest;

  readonly sink: ResponseSink;

  readonly trace: CallTrace;

  readonly deadline: CallDeadline;

  /** Endpoints that the request has already been sent to, or that could not be reached. */
  readonly tried = new Set<EndpointState>();

  private offeredEndpoint: EndpointState | undefined;

  private openAttemptCount = 0;

  private unreachedCount = 0;

  /** Hashes of the segments and the service, since other engines may be unaffected by a segment. */
  private segmentHashes: readonly number[];

  private lastDeliveredEvent: string | undefined;

  /** True once bytes have been relayed after which another endpoint could not resume. */
  private isUnresumable = false;

  /** The stream that the caller receives; undefined until an endpoint has begun it. */
  private streamOrigin: Pick<StreamOrigin, 'version'> | undefined;

  /** The last attempt whose events were written to the caller. */
  private boundAttempt: AttemptVersion | undefined;

  /** Mark the stream as ended at this instance. */
  private readonly endStreamRecords: (() => void)[] = [];

  constructor(
    parts: ForwardedCallParts,
    request: ForwardedRequest,
    admitted: AdmittedRequest,
    sink: ResponseSink,
    trace: CallTrace,
    deadline: CallDeadline,
  ) {
    this.parts = parts;
    this.request = request;
    this.currentAdmitted = admitted;
    this.sink = sink;
    this.trace = trace;
    this.deadline = deadline;
    this.lastDeliveredEvent = request.lastEvent;
    this.segmentHashes = this.hashSegments();
  }

  /** The service is the one that began the stream, once that is known. */
  get admitted(): AdmittedRequest {
    return this.currentAdmitted;
  }

  /** The services at which streams of the same path begin. */
  private get streamTarget(): StreamTarget {
    const { host, target } = this.request;
    const [path = ''] = target.split('?', 1);
    return { host, path, services: servicesOf(this.admitted.route) };
  }

  get isGeneration(): boolean {
    return this.engine !== undefined;
  }

  /** The segments of the prompt that other requests may have as well: all but the last one. */
  get sharedSegments(): readonly PromptSegment[] {
    return this.request.promptSegments.slice(0, -1);
  }

  /** Hashes of the shared segments. */
  get sharedSegmentHashes(): readonly number[] {
    return this.segmentHashes.slice(0, -1);
  }

  /** The quarantined segments because of which the request is refused, if any. */
  get quarantinedGroup(): QuarantinedGroup | undefined {
    return this.parts.quarantine.findGroup(this.sharedSegmentHashes);
  }

  /** Undefined for services without engines. */
  private get engine(): EngineCapacity | undefined {
    return this.parts.view.configuration?.services.get(this.admitted.service)?.engine;
  }

  get lastEvent(): string | undefined {
    return this.lastDeliveredEvent;
  }

  /**
   * The endpoints that accept the request. Endpoints do not check which software version began a stream, so
   * those of another version are left out once it has begun. Until then, those of a version that other
   * instances may not have seen are left out.
   */
  get acceptingEndpoints(): readonly EndpointState[] {
    const { registry, origins } = this.parts;
    const { service } = this.admitted;
    const states = registry.readyEndpoints(service);
    const origin = this.streamOrigin;
    if (origin !== undefined) {
      return states.filter(({ record }) => record.softwareVersion === origin.version);
    }
    if (!this.isResumable) {
      return states;
    }
    const established = origins.establishedVersions(service);
    return established === undefined
      ? states
      : states.filter(({ record }) => established.has(record.softwareVersion));
  }

  /** Why no endpoint is left for the next attempt. */
  get noEndpointReason(): string {
    const origin = this.streamOrigin;
    return origin === undefined
      ? 'no endpoint is left'
      : `no endpoint of software version ${origin.version ?? '(none)'} is left`;
  }

  /** True if the caller resumes a stream, which has to go on at the software version that began it. */
  get resumesStream(): boolean {
    return this.isResumable && this.request.lastEvent !== undefined;
  }

  /**
   * Finds the service and the software version that began the stream that the caller resumes, and sends the request
   * there. Returns false if they are not known. Rejects with `cancelled` if the call ends meanwhile.
   */
  async findOrigin(): Promise<boolean> {
    const { parts, request, deadline, streamTarget } = this;
    const origin = await parts.origins.find(streamTarget, request.resumedRequest, deadline.signal);
    this.streamOrigin = origin;
    if (origin !== undefined) {
      this.goOnAt(origin.service);
    }
    const viewAge = Math.round(parts.view.ageMilliseconds);
    this.trace.origin =
      origin === undefined
        ? `unknown, view ${viewAge} ms`
        : `${origin.version ?? '(none)'} by ${origin.source}, view ${viewAge} ms`;
    return origin !== undefined;
  }

  /** Sends the request to the service that began its stream, in place of the one drawn for it. */
  private goOnAt(service: string): void {
    this.currentAdmitted = { ...this.currentAdmitted, service };
    this.segmentHashes = this.hashSegments();
    Object.assign(this.trace, { service });
  }

  private hashSegments(): readonly number[] {
    return this.request.promptSegments.map(({ identifier }) =>
      hashString(`${this.admitted.service}|${identifier}`),
    );
  }

  /**
   * Records that events of an attempt are about to be written to the caller. Returns false if another software
   * version began the stream.
   */
  bindStream(attempt: AttemptVersion): boolean {
    if (attempt === this.boundAttempt) {
      return true;
    }
    const { softwareVersion } = attempt;
    if (this.streamOrigin === undefined) {
      this.streamOrigin = { version: softwareVersion };
    } else if (!isVersionCertain(attempt) || this.streamOrigin.version !== softwareVersion) {
      return false;
    }
    if (this.isResumable && this.boundAttempt === undefined) {
      this.recordStream(softwareVersion);
    }
    this.boundAttempt = attempt;
    return true;
  }

  /** Records that the call has ended. */
  endStream(): void {
    if (
      this.isResumable &&
      this.boundAttempt !== undefined &&
      !isVersionCertain(this.boundAttempt)
    ) {
      // Two versions under one identifier are taken for neither when the caller resumes the stream.
      this.recordStream(this.boundAttempt.registeredVersion);
    }
    this.endStreamRecords.splice(0).forEach((end) => end());
  }

  private recordStream(version: SoftwareVersion): void {
    const { identifier } = this.request;
    if (identifier !== undefined) {
      const { service } = this.admitted;
      const { origins } = this.parts;
      this.endStreamRecords.push(origins.begin(this.streamTarget, service, identifier, version));
    }
  }

  /** Records that an event has been written to the caller. */
  recordDelivery(identifier: string | undefined): void {
    this.isUnresumable ||= identifier === undefined;
    this.lastDeliveredEvent = identifier ?? this.lastDeliveredEvent;
  }

  /** Records that a response has started that is not a stream of events. */
  recordUnresumableStart(): void {
    this.isUnresumable = true;
  }

  /**
   * True if the request may be sent again although it may have run. Once the response has started,
   * it can only be resumed, and only if all delivered events have identifiers and the software version that wrote
   * them is certain.
   */
  get isRetryable(): boolean {
    const { retrySemantics } = this.admitted.route;
    if (this.sink.hasStarted) {
      const isCertain = this.boundAttempt === undefined || isVersionCertain(this.boundAttempt);
      return this.isResumable && !this.isUnresumable && isCertain;
    }
    return retrySemantics !== RetrySemantics.AtMostOnce;
  }

  /** True if endpoints may continue the stream of another one. */
  get isResumable(): boolean {
    return this.admitted.route.retrySemantics === RetrySemantics.Resumable;
  }

  /** True if the route allows another attempt besides those that are open. */
  get hasAnotherAttempt(): boolean {
    return this.trace.attempts + this.openAttemptCount < this.admitted.route.maximumAttempts;
  }

  /** Attempts that have been started and not closed. */
  get openAttempts(): number {
    return this.openAttemptCount;
  }

  /** Records the start of an attempt. */
  recordOpened(state: EndpointState): void {
    this.tried.add(state);
    this.openAttemptCount += 1;
  }

  /** Records the end of an attempt. */
  recordClosed(): void {
    this.openAttemptCount -= 1;
  }

  /** Attempts and prefills that were not sent, as no connection could be opened. */
  get unreachedEndpoints(): number {
    return this.unreachedCount;
  }

  /** Records an attempt or a prefill that was not sent, as no connection could be opened. */
  recordUnreached(): void {
    this.unreachedCount += 1;
  }

  /** Offers an endpoint that another request of this instance has just left, for the next attempt. */
  offer(state: EndpointState): void {
    this.offeredEndpoint = state;
  }

  /** Returns the offered endpoint once, if it still takes this request. */
  takeOffered(states: readonly EndpointState[]): EndpointState | undefined {
    const { offeredEndpoint: state } = this;
    this.offeredEndpoint = undefined;
    const isUsable =
      state !== undefined &&
      states.includes(state) &&
      !this.tried.has(state) &&
      state.availability.allowsRequest(this.parts.clock.monotonicMilliseconds());
    return isUsable ? state : undefined;
  }

  placementContext(): PlacementContext {
    const { zone, random, clock } = this.parts;
    return {
      zone,
      random,
      now: clock.monotonicMilliseconds(),
      tried: this.tried,
      cacheCapacityTokens: this.engine?.cacheCapacityTokens ?? 0,
    };
  }

  /** The fields of an attempt that bind it to what its endpoint states about itself. */
  bindAttempt(
    state: EndpointState,
  ): Pick<Attempt, 'permit' | 'receiveNotice' | 'incarnationCheck'> {
    const { clock, notices } = this.parts;
    const permit = state.availability.startRequest(clock.monotonicMilliseconds(), clock);
    return {
      permit,
      receiveNotice: (notice) => notices.receive(state, permit, notice, this.request.identifier),
      incarnationCheck: this.checkIncarnation(state),
    };
  }

  /**
   * Checks the incarnation of an endpoint for a stream that others may continue, since the registered version is
   * that of one incarnation. Once a stream has begun, it goes on only where the version is certain.
   */
  private checkIncarnation(state: EndpointState): IncarnationCheck | undefined {
    const { startedMilliseconds } = state.record;
    if (!this.isResumable || startedMilliseconds === 0) {
      return undefined;
    }
    return new IncarnationCheck({
      registeredMilliseconds: startedMilliseconds,
      mayBeUnknown: this.streamOrigin === undefined,
      // The view shows the other incarnation once that is registered.
      onOther: () => state.ejectOnce(this.parts.clock.monotonicMilliseconds()),
    });
  }

  /** Records that an engine now has the shared segment of a prompt in its KV cache. */
  recordCachedSegment({ hash }: EndpointState, { shared, tokens }: PromptSummary): void {
    if (shared !== undefined) {
      const now = this.parts.clock.monotonicMilliseconds();
      this.parts.directory.recordOwn(
        {
          engine: hash,
          segment: shared.hash,
          sharedTokens: shared.tokens,
          ownTokens: tokens - shared.tokens,
        },
        now,
      );
    }
  }

  /** Records that the first event or the whole response of an attempt has arrived. */
  recordBegin(): void {
    this.parts.capacity.recordAcceptance(this);
    if (this.isGeneration) {
      // The last segment of a conversation recurs as a shared one in its next turn.
      this.parts.quarantine.recordBegin(this.segmentHashes);
    }
  }

  /** Counts an attempt that an endpoint began to run at a time of the monotonic clock. */
  recordUsage(beganMilliseconds: number): void {
    const { account } = this.trace;
    if (account !== undefined) {
      const { clock, tally } = this.parts;
      const elapsed = clock.monotonicMilliseconds() - beganMilliseconds;
      tally.add(account, clock.wallMilliseconds() - elapsed);
    }
  }
}
