import { FailureKind } from 'hickoryrelay/Failure';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { RelayError } from 'hickoryrelay/RelayError';
import { ConfirmedView } from 'hickoryrelay-forwarding/ConfirmedView';
import { CrashEvidence } from 'hickoryrelay-forwarding/CrashEvidence';
import { shutdownTimesOf } from 'hickoryrelay-forwarding/DeploymentBounds';
import { EndpointLink } from 'hickoryrelay-forwarding/EndpointLink';
import { EndpointPhase } from 'hickoryrelay-forwarding/EndpointRecord';
import { EndpointRegistry } from 'hickoryrelay-forwarding/EndpointRegistry';
import { EngineCrashDetector } from 'hickoryrelay-forwarding/EngineCrashDetector';
import { EnginePlacement } from 'hickoryrelay-forwarding/EnginePlacement';
import {
  ForwardingConfiguration,
  RetrySemantics,
} from 'hickoryrelay-forwarding/ForwardingConfiguration';
import { ForwardingExchange } from 'hickoryrelay-forwarding/ForwardingExchange';
import { ForwardingMetrics } from 'hickoryrelay-forwarding/ForwardingMetrics';
import { PeerLoads } from 'hickoryrelay-forwarding/PeerLoads';
import { PrefillRate } from 'hickoryrelay-forwarding/PrefillRate';
import { PromptCacheDirectory } from 'hickoryrelay-forwarding/PromptCacheDirectory';
import { QuotaAdmission } from 'hickoryrelay-forwarding/QuotaAdmission';
import { QuotaLog } from 'hickoryrelay-forwarding/QuotaLog';
import { RequestAdmission } from 'hickoryrelay-forwarding/RequestAdmission';
import { ResponseSink } from 'hickoryrelay-forwarding/ResponseSink';
import { RetryBudgets } from 'hickoryrelay-forwarding/RetryBudgets';
import { SegmentQuarantine } from 'hickoryrelay-forwarding/SegmentQuarantine';
import { ServicePlacement } from 'hickoryrelay-forwarding/ServicePlacement';
import { ShutdownSchedule } from 'hickoryrelay-forwarding/ShutdownSchedule';
import { UsageTally } from 'hickoryrelay-forwarding/UsageTally';
import { HISTORY_MILLISECONDS } from 'hickoryrelay-stream/ObservationPeriod';
import { StreamOrigins } from 'hickoryrelay-stream/StreamOrigins';
import { VersionHistory } from 'hickoryrelay-stream/VersionHistory';

import type { ComponentLogger, LogFields } from 'hickoryrelay/Logger';
import type {
  Attempt,
  EndpointResponse,
  PrefilledPrompt,
  ResponseHead,
} from 'hickoryrelay-forwarding/EndpointLink';
import type { EndpointRecord } from 'hickoryrelay-forwarding/EndpointRecord';
import type { ForwardedRequest } from 'hickoryrelay-forwarding/ForwardedRequest';
import type {
  ForwardingDeclarations,
  ForwardingRoute,
} from 'hickoryrelay-forwarding/ForwardingConfiguration';
import type { ForwardingExchangeParts } from 'hickoryrelay-forwarding/ForwardingExchange';
import type { ForwardingLimits } from 'hickoryrelay-forwarding/ForwardingLimits';
import type { LocalResponse } from 'hickoryrelay-forwarding/ResponseSink';
import type { AccountQuotas } from 'hickoryrelay-quota/AccountQuotas';

/** Time between the stop signal and the end of the process. */
export const GRACE_MILLISECONDS = 8000;

/** Time between two writes of an endpoint's registration. */
export const HEARTBEAT_MILLISECONDS = 1200;

export const LIMITS: ForwardingLimits = {
  maximumViewAgeMilliseconds: 4500,
  denialViewAgeMilliseconds: 2000,
  retryRatio: 0.1,
  retrySlack: 1000,
};

export function makeShutdownSchedule(clock: ManualClock): ShutdownSchedule {
  return new ShutdownSchedule(clock, shutdownTimesOf({ graceMilliseconds: GRACE_MILLISECONDS }));
}

export function makeRoute(changes: Partial<ForwardingRoute> = {}): ForwardingRoute {
  return {
    name: 'route',
    host: 'h.example',
    prefix: '/a/',
    retrySemantics: RetrySemantics.AtMostOnce,
    isStreaming: false,
    timeoutMilliseconds: 5000,
    latencyTargetMilliseconds: 200,
    eventGapTargetMilliseconds: 150,
    priority: 0,
    services: [{ service: 'desk', weight: 1 }],
    maximumAttempts: 2,
    allowsAnonymous: false,
    ...changes,
  };
}

/** Changes of a route that make it a stream which can be resumed. */
export const RESUMABLE_STREAM = { retrySemantics: RetrySemantics.Resumable, isStreaming: true };

export function makeConfiguration(
  changes: Partial<ForwardingDeclarations> = {},
): ForwardingConfiguration {
  return new ForwardingConfiguration({
    version: 1,
    routes: [makeRoute()],
    services: [
      { name: 'desk', maximumConnections: 10 },
      {
        name: 'model',
        maximumConnections: 10,
        engine: { slots: 12, cacheCapacityTokens: 300_000 },
      },
    ],
    limits: {
      headerBytes: 16_384,
      bodyBytes: 1_000_000,
      headerTimeoutMilliseconds: 3000,
      idleTimeoutMilliseconds: 15_000,
    },
    grants: new Map([['key-1', { account: 'account-1' }]]),
    ...changes,
  });
}

export function makeEndpoint(
  identifier: string,
  changes: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    identifier,
    service: 'desk',
    address: `10.0.0.1:${identifier.length}`,
    zone: 'zone-a',
    slots: 6,
    phase: EndpointPhase.Ready,
    startedMilliseconds: 1,
    isReclaimable: false,
    ...changes,
  };
}

export function makeRequest(changes: Partial<ForwardedRequest> = {}): ForwardedRequest {
  return {
    identifier: 'request-1',
    method: 'POST',
    host: 'h.example',
    target: '/a/b',
    headers: [],
    body: Buffer.alloc(0),
    accessKey: 'key-1',
    callerTimeoutMilliseconds: 3000,
    arrivedMilliseconds: 0,
    arrivedSuspensionMilliseconds: 0,
    promptSegments: [],
    lastEvent: undefined,
    ...changes,
  };
}

/** What an endpoint does with one attempt. */
export type EndpointBehaviour = (
  attempt: Attempt,
  signal: AbortSignal,
) => Promise<EndpointResponse>;

/** A response of an endpoint. An error among the chunks truncates the body. */
export function makeResponse(
  chunks: readonly (string | Error)[],
  changes: Partial<EndpointResponse> = {},
): EndpointResponse {
  async function* body(): AsyncGenerator<Buffer, void, void> {
    for (const chunk of chunks) {
      if (chunk instanceof Error) {
        throw chunk;
      }
      yield Buffer.from(chunk);
    }
  }
  return {
    status: 200,
    headers: ['X-Signature', 's'],
    length: undefined,
    hasBody: true,
    isCloseDelimited: false,
    isNotRun: false,
    isMisdirected: false,
    isEventStream: true,
    isSigned: true,
    body: body(),
    discard: () => {},
    ...changes,
  };
}

export function endpointFailure(mayHaveRun: boolean): RelayError {
  return new RelayError({
    kind: FailureKind.EndpointFailed,
    endpoint: 'e',
    reason: 'reset',
    mayHaveRun,
  });
}

/** A link whose endpoints behave as scripted, with one behaviour for each attempt in turn. */
export class ScriptedLink extends EndpointLink {
  readonly sent: Attempt[] = [];

  readonly prefills: Attempt[] = [];

  readonly released: PrefilledPrompt[] = [];

  prefillResult: PrefilledPrompt | undefined = { address: '10.0.0.9:1', handle: 'handle' };

  private readonly behaviours: EndpointBehaviour[];

  constructor(behaviours: readonly EndpointBehaviour[]) {
    super();
    this.behaviours = [...behaviours];
  }

  /** Adds behaviours for further attempts. */
  script(behaviours: readonly EndpointBehaviour[]): void {
    this.behaviours.push(...behaviours);
  }

  override send(attempt: Attempt, signal: AbortSignal): Promise<EndpointResponse> {
    this.sent.push(attempt);
    const behaviour = this.behaviours.shift();
    return behaviour === undefined
      ? Promise.reject(endpointFailure(true))
      : behaviour(attempt, signal);
  }

  /** Called during a prefill. */
  onPrefill = () => {};

  override prefill(attempt: Attempt): Promise<PrefilledPrompt | undefined> {
    this.prefills.push(attempt);
    this.onPrefill();
    return Promise.resolve(this.prefillResult);
  }

  override release(prefilledPrompt: PrefilledPrompt): Promise<void> {
    this.released.push(prefilledPrompt);
    return Promise.resolve();
  }

  /** True if the endpoints refuse connections. */
  areEndpointsDown = false;

  override isRefused(): Promise<boolean> {
    return Promise.resolve(this.areEndpointsDown);
  }

  override tryConnection(): Promise<boolean> {
    return Promise.resolve(!this.areEndpointsDown);
  }

  override retain(): void {}
}

/** Keeps the fields of the lines that are written to it. */
export class RecordingLogger implements ComponentLogger {
  readonly lines: (LogFields & { readonly sentence: string })[] = [];

  readonly debug = (sentence: string, fields: LogFields = {}) => this.add(sentence, fields);

  readonly info = this.debug;

  readonly warn = this.debug;

  readonly error = this.debug;

  private add(sentence: string, fields: LogFields): void {
    this.lines.push({ ...fields, sentence });
  }
}

/** Records the response to a caller. */
export class RecordingSink extends ResponseSink {
  readonly leaving = new AbortController();

  override readonly gone = this.leaving.signal;

  head: ResponseHead | undefined;

  own: LocalResponse | undefined;

  text = '';

  get status(): number | undefined {
    return this.head?.status;
  }

  isEnded = false;

  isAborted = false;

  override get hasStarted(): boolean {
    return this.head !== undefined;
  }

  override start(head: ResponseHead): void {
    this.head = head;
  }

  override write(chunk: Buffer): Promise<void> {
    this.text += chunk.toString();
    return Promise.resolve();
  }

  override end(): void {
    this.isEnded = true;
  }

  override answer(response: LocalResponse): void {
    this.own = response;
  }

  override abort(): void {
    this.isAborted = true;
  }
}

export interface HarnessOptions {
  readonly configuration?: ForwardingConfiguration;
  readonly endpoints?: readonly EndpointRecord[];
  readonly behaviours?: readonly EndpointBehaviour[];
  /** Clock that the behaviours use as well. */
  readonly clock?: ManualClock;
  readonly log?: ComponentLogger;
  readonly quotas?: AccountQuotas;
  /** Parts that replace the usual ones. */
  readonly parts?: Partial<ForwardingExchangeParts>;
}

/** The origins of an instance that has seen configuration and endpoints for as long as streams are remembered. */
export function makeOrigins(
  clock: ManualClock,
  configuration: ForwardingConfiguration,
  endpoints: readonly EndpointRecord[],
): StreamOrigins {
  const history = new VersionHistory(HISTORY_MILLISECONDS);
  const versions = new Map<string, Set<string | undefined>>();
  for (const { service, softwareVersion } of endpoints) {
    versions.set(service, (versions.get(service) ?? new Set()).add(softwareVersion));
  }
  for (let age = 2 * HISTORY_MILLISECONDS; age >= 0; age -= HISTORY_MILLISECONDS / 4) {
    history.observe(versions, clock.monotonicMilliseconds() - age);
  }
  const origins = new StreamOrigins(history, clock);
  for (let age = 2 * HISTORY_MILLISECONDS; age >= 0; age -= HISTORY_MILLISECONDS / 4) {
    origins.observeRoutes(configuration, age);
  }
  return origins;
}

/** Makes an exchange whose endpoints are reached over a link. */
export function makeExchange(
  clock: ManualClock,
  link: EndpointLink,
  configuration: ForwardingConfiguration,
  endpoints: readonly EndpointRecord[],
  log: ComponentLogger = silentLogger,
  changes: Partial<ForwardingExchangeParts> = {},
  quotas?: AccountQuotas,
) {
  const view = new ConfirmedView(clock, HEARTBEAT_MILLISECONDS);
  const registry = changes.registry ?? new EndpointRegistry(new PeerLoads());
  const metrics = new ForwardingMetrics();
  view.apply({ configuration, endpoints, peers: [], isAuthorityHeld: false }, 0);
  registry.replace(endpoints);
  const random = new SeededRandomSource(1);
  const directory = new PromptCacheDirectory();
  const prefillRate = new PrefillRate();
  const tally = new UsageTally(5000);
  const budgets = new RetryBudgets(LIMITS);
  const shutdown = makeShutdownSchedule(clock);
  const quarantine = new SegmentQuarantine(new CrashEvidence(), clock);
  const origins = changes.origins ?? makeOrigins(clock, configuration, endpoints);
  const exchange = new ForwardingExchange({
    zone: 'zone-a',
    view,
    registry,
    services: new ServicePlacement(),
    engines: new EnginePlacement(directory, prefillRate),
    directory,
    prefillRate,
    link,
    quarantine,
    crashDetector: new EngineCrashDetector({ link, quarantine, clock }),
    origins,
    budgets,
    tally,
    shutdown,
    clock,
    random,
    admission: new RequestAdmission(
      view,
      LIMITS,
      random,
      quotas && new QuotaAdmission(quotas, clock, new QuotaLog(log)),
    ),
    metrics,
    log,
    ...changes,
  });
  return { view, registry, quarantine, origins, tally, budgets, shutdown, metrics, exchange };
}

/** Makes an exchange with a scripted link and a manual clock. */
export function makeHarness(options: HarnessOptions = {}) {
  const clock = options.clock ?? new ManualClock();
  const endpoints = options.endpoints ?? [makeEndpoint('e1'), makeEndpoint('e22')];
  const configuration = options.configuration ?? makeConfiguration();
  const link = new ScriptedLink(options.behaviours ?? []);
  const parts = makeExchange(
    clock,
    link,
    configuration,
    endpoints,
    options.log,
    options.parts,
    options.quotas,
  );
  const sink = new RecordingSink();
  const run = (request = makeRequest()) => parts.exchange.handle(request, sink);
  return { ...parts, clock, link, sink, run };
}

/** Makes an exchange with a single route, whose endpoints behave as scripted. */
export function makeRouteHarness(
  route: Partial<ForwardingRoute>,
  behaviours: EndpointBehaviour[],
  options: HarnessOptions = {},
) {
  const configuration = makeConfiguration({ routes: [makeRoute(route)] });
  return makeHarness({ configuration, behaviours, ...options });
}
