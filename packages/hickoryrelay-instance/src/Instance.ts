import { ServiceBroker } from 'moleculer';
import { FailureKind, describeFailure } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { LogPrefix, createComponentLogger } from 'hickoryrelay/Logger';
import { RelayError } from 'hickoryrelay/RelayError';
import { RetryBudget } from 'hickoryrelay/RetryBudget';
import { BufferedRemoteUsage } from 'hickoryrelay-admission/RemoteUsage';
import { callerCounters, callerGauges } from 'hickoryrelay-caller/CallerMetrics';
import { RequestIdentifierGenerator } from 'hickoryrelay-link/RequestIdentifierGenerator';
import { WebSocketPeerTransport } from 'hickoryrelay-link/WebSocketPeerTransport';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';
import { KeyValueClaimRegister } from 'hickoryrelay-usage/KeyValueClaimRegister';
import { Fleet } from 'hickoryrelay-zone/Fleet';

import { CacheEventTasks } from './CacheEventTasks.js';
import { CallBudgetShareTask } from './CallBudgetShareTask.js';
import { CallerApi } from './CallerApi.js';
import { CallMetrics } from './CallMetrics.js';
import { ConfigurationView } from './ConfigurationView.js';
import { ControlPlane } from './ControlPlane.js';
import { Drain, DrainPhase } from './Drain.js';
import { EndpointLinks } from './EndpointLinks.js';
import { EngineLoadTasks } from './EngineLoadTasks.js';
import { Exchange } from './Exchange.js';
import { ExchangeCounters } from './ExchangeCounters.js';
import { DEFAULT_EXCHANGE_LIMITS } from './ExchangeLimits.js';
import { ExchangeTable } from './ExchangeTable.js';
import { FleetTask } from './FleetTask.js';
import { ResponseMemoryBudget } from './ResponseMemoryBudget.js';
import { SmoothedDemand } from './SmoothedDemand.js';
import { TrafficPolicy } from './TrafficPolicy.js';
import { UsageAccounting } from './UsageAccounting.js';
import { ZoneController } from './ZoneController.js';
import { ZoneDemandObserver } from './ZoneDemandObserver.js';
import { ZoneObservationTask } from './ZoneObservationTask.js';

import type { ExchangeParts } from './Exchange.js';
import type { CallerConnections } from 'hickoryrelay/CallerConnections';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { AdmissionPolicy } from 'hickoryrelay-admission/AdmissionPolicy';
import type { CallerGuard } from 'hickoryrelay-caller/CallerGuard';
import type { Settings } from 'hickoryrelay-contract/Settings';
import type { Call } from 'hickoryrelay-link/Call';
import type { CallBudget } from 'hickoryrelay-platform/CallBudget';
import type { EndpointSupply } from 'hickoryrelay-platform/EndpointSupply';
import type { InstanceList } from 'hickoryrelay-platform/InstanceList';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Logger as ProcessLogger } from 'winston';

const MILLISECONDS_PER_SECOND = 1000;

/** The platform services that an instance uses. */
export interface PlatformServices {
  readonly keyValue: KeyValueStore;
  readonly supply: EndpointSupply;
  readonly instances: InstanceList;
  readonly usage: UsageReportSink;
}

/** Constructor arguments of `Instance`. */
export interface InstanceParts {
  readonly settings: Settings;
  readonly platform: PlatformServices;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: ProcessLogger;
  /** The call budget of the key-value store, which the instance sets to its share. */
  readonly callBudget?: CallBudget;
  /** Replaces the admission queue, so that relaying can be measured on its own. */
  readonly admission?: AdmissionPolicy<Call>;
}

/** The response body of `GET /admin/status`. */
export interface InstanceStatus {
  readonly name: string;
  readonly zone: string;
  readonly state: InstanceState;
  readonly ready: boolean;
  readonly revision: number;
  readonly callsInFlight: number;
  /** Fencing number of the authority over the zone; present only while this instance holds it. */
  readonly fencingNumber?: number;
}

/** An entry instance: a process that relays calls to endpoints. All instances are equal. */
export class Instance {
  readonly settings: Settings;

  readonly clock: Clock;

  readonly view: ConfigurationView;

  readonly fleet = new Fleet();

  readonly metrics = new CallMetrics();

  private readonly parts: InstanceParts;

  private readonly lifecycle: LifecycleManager;

  private readonly links = new EndpointLinks();

  private readonly exchangeParts: ExchangeParts;

  private readonly exchanges = new ExchangeTable();

  private readonly requestIdentifiers: RequestIdentifierGenerator;

  private readonly remoteUse = new BufferedRemoteUsage((account, cost) => {
    this.controlPlane.digest.charge(account, cost);
  });

  private readonly policy: TrafficPolicy;

  private readonly drain: Drain;

  private server: Server | undefined;

  private connections: CallerConnections | undefined;

  private stopping: Promise<readonly string[]> | undefined;

  private readonly controlPlane: ControlPlane;

  private readonly zoneController: ZoneController;

  private readonly usageAccounting: UsageAccounting;

  constructor(parts: InstanceParts) {
    this.parts = parts;
    this.settings = parts.settings;
    this.clock = parts.clock;
    this.requestIdentifiers = new RequestIdentifierGenerator(parts.random);
    this.view = new ConfigurationView(parts.clock);
    const log = createComponentLogger(parts.logger, LogPrefix.Daemon);
    this.drain = new Drain({
      limits: parts.settings.drain,
      exchanges: this.exchanges,
      connections: () => this.connections,
      stallTimeoutMilliseconds: parts.settings.limits.callerStallSeconds * MILLISECONDS_PER_SECOND,
      clock: parts.clock,
      log,
    });
    this.lifecycle = new LifecycleManager('instance', parts.clock, (owner, failure) => {
      log.error('A task or clean-up failed.', { owner, reason: describeFailure(failure) });
    });
    this.controlPlane = this.createControlPlane();
    this.zoneController = this.createZoneController();
    this.usageAccounting = this.createUsageAccounting();
    this.policy = new TrafficPolicy({
      instanceName: parts.settings.instance.name,
      zone: parts.settings.instance.zone,
      fleet: this.fleet,
      clock: parts.clock,
      random: parts.random,
      remoteUsage: this.remoteUse,
      classOf: (className) => this.view.declarations.classes.get(className),
      queueLimit: parts.settings.limits.callsInFlight,
      observeWork: (className, work) => this.controlPlane.digest.work.add(className, work),
    });
    const claims = new KeyValueClaimRegister(
      parts.platform.keyValue,
      parts.clock,
      createComponentLogger(parts.logger, LogPrefix.Claims),
    );
    this.lifecycle.own('claims', claims.observeRestores());
    this.exchangeParts = {
      admission: parts.admission ?? this.policy.admission,
      selection: this.policy.selection,
      beginAttempt: (endpoint, call) => this.policy.beginAttempt(endpoint, call),
      fleet: this.fleet,
      links: this.links,
      clock: parts.clock,
      random: parts.random,
      meter: this.usageAccounting.usage.meter,
      claims,
      retryBudget: new RetryBudget(),
      memoryBudget: new ResponseMemoryBudget(),
      counters: new ExchangeCounters(),
      endpointLog: createComponentLogger(parts.logger, LogPrefix.Endpoint),
      limits: DEFAULT_EXCHANGE_LIMITS,
    };
  }

  get isReady(): boolean {
    return this.drain.phase === DrainPhase.Open && this.view.isUsable && this.fleet.isLoaded;
  }

  /** Address and port of the caller API. Throws if the instance has not been started. */
  get callersAddress(): AddressInfo {
    const address = this.server?.address();
    invariant(typeof address === 'object' && address !== null, 'the instance has not started');
    return address;
  }

  private get state(): InstanceState {
    return this.drain.phase === DrainPhase.Open ? InstanceState.Live : InstanceState.Leaving;
  }

  nextRequestIdentifier(): string {
    return this.requestIdentifiers.next();
  }

  /** Throws `shutting-down` once the instance refuses new calls. */
  assertAcceptsCalls(): void {
    if (this.drain.phase === DrainPhase.Closed) {
      throw new RelayError({ kind: FailureKind.ShuttingDown });
    }
  }

  /** Creates the exchange of a call and tracks it until it has completed. */
  open(call: Call): Exchange {
    const exchange = new Exchange(call, this.exchangeParts, () => {
      this.exchanges.remove(exchange);
    });
    this.exchanges.add(exchange);
    return exchange;
  }

  status(): InstanceStatus {
    const { name, zone } = this.settings.instance;
    const term = this.zoneController.authority.currentTerm;
    return {
      name,
      zone,
      state: this.state,
      ready: this.isReady,
      revision: this.view.revision,
      callsInFlight: this.exchanges.size,
      ...(term === undefined ? {} : { fencingNumber: term.fencingNumber }),
    };
  }

  async start(): Promise<void> {
    this.registerGauges();
    const { logger, platform } = this.parts;
    this.lifecycle.own('endpoint links', () => this.links.close());
    this.lifecycle.own(
      'withdrawn keys',
      this.view.subscribe(() => this.cancelCallsOfWithdrawnKeys()),
    );
    const endpointLog = createComponentLogger(logger, LogPrefix.Endpoint);
    this.lifecycle.start(
      new FleetTask(platform.supply, this.fleet, this.view, this.links, endpointLog),
    );
    this.lifecycle.start(
      new EngineLoadTasks(this.policy.pool, this.lifecycle.child('engine loads'), endpointLog),
    );
    this.lifecycle.start(
      new CacheEventTasks(
        this.policy.pool,
        this.lifecycle.child('cache events'),
        this.parts.random,
        endpointLog,
      ),
    );
    await this.startBroker();
    await this.startControlPlane();
  }

  /**
   * Shuts down gracefully: reports not ready, completes the calls in flight, then releases all
   * resources. Returns the request identifiers of calls that were cut off at the deadline. Further
   * calls return the result of the first.
   */
  stop(): Promise<readonly string[]> {
    this.stopping ??= this.shutDown();
    return this.stopping;
  }

  /** Ends a graceful shutdown early; the calls in flight are cut off. */
  forceStop(): void {
    this.drain.force();
  }

  private async shutDown(): Promise<readonly string[]> {
    const [cutOffIdentifiers] = await Promise.all([this.drain.run(), this.controlPlane.leave()]);
    await this.usageAccounting.flush();
    await this.lifecycle.stop();
    return cutOffIdentifiers;
  }

  private createControlPlane(): ControlPlane {
    const { clock, logger, platform, random, settings } = this.parts;
    return new ControlPlane({
      instance: settings.instance,
      transport: new WebSocketPeerTransport(settings.peers.address, settings.peers.port),
      seeds: settings.peers.seeds,
      store: new ConfigurationStore(platform.keyValue),
      instances: platform.instances,
      callersUrl: () => {
        const { address, port } = this.callersAddress;
        return `http://${address}:${port}`;
      },
      view: this.view,
      clock,
      random,
      lifecycle: this.lifecycle.child('control'),
      log: (prefix) => createComponentLogger(logger, prefix),
    });
  }

  private createZoneController(): ZoneController {
    const { clock, logger, platform, random, settings } = this.parts;
    const { digest, membership } = this.controlPlane;
    const { zone } = settings.instance;
    const { keyValue: store, supply } = platform;
    const observer = new ZoneDemandObserver({
      zone,
      clock,
      fleet: this.fleet,
      declarations: () => this.view.declarations,
      demand: new SmoothedDemand(digest.work.sums, clock),
      isZoneResponsive: () => membership.isOwnZoneResponsive,
    });
    const log = createComponentLogger(logger, LogPrefix.Authority);
    return new ZoneController({
      instance: settings.instance,
      store,
      supply,
      fleet: this.fleet,
      observer,
      createObservationTask: (term) =>
        new ZoneObservationTask({ observer, zone, store, supply, log }, term),
      clock,
      random,
      lifecycle: this.lifecycle.child('authority'),
      log: (prefix) => createComponentLogger(logger, prefix),
    });
  }

  private createUsageAccounting(): UsageAccounting {
    const { clock, logger, platform, random, settings } = this.parts;
    return new UsageAccounting({
      zone: settings.instance.zone,
      network: this.controlPlane.network,
      digest: this.controlPlane.digest,
      authority: this.zoneController.authority,
      store: platform.keyValue,
      sink: platform.usage,
      fleet: this.fleet,
      clock,
      random,
      lifecycle: this.lifecycle.child('usage'),
      log: (prefix) => createComponentLogger(logger, prefix),
    });
  }

  private async startControlPlane(): Promise<void> {
    this.lifecycle.own(
      'cost at other instances',
      this.controlPlane.digest.subscribe((account, cost) => this.remoteUse.add([[account, cost]])),
    );
    await this.controlPlane.start();
    const { callBudget } = this.parts;
    if (callBudget !== undefined) {
      this.lifecycle.start(new CallBudgetShareTask(callBudget, this.controlPlane.membership));
    }
    this.zoneController.start();
    this.usageAccounting.start();
  }

  private async startBroker(): Promise<void> {
    const broker = new ServiceBroker({
      logger: false,
      transporter: undefined,
      // The broker's own signal handlers would end the process before the drain is complete.
      skipProcessEventRegistration: true,
    });
    const callerApi = new CallerApi(
      this,
      createComponentLogger(this.parts.logger, LogPrefix.Caller),
    );
    broker.createService(
      callerApi.serviceSchema((server, connections, guard) => {
        this.server = server;
        this.connections = connections;
        this.registerCallerMetrics(guard);
      }),
    );
    await broker.start();
    this.lifecycle.own('broker', () => broker.stop());
  }

  private registerGauges(): void {
    this.metrics.registerGauge('calls_in_flight', () => this.exchanges.size);
    this.metrics.registerGauge('configuration_revision', () => this.view.revision);
    this.metrics.registerGauge('endpoints', () => [...this.fleet.endpoints()].length);
    const { era } = this.parts.platform.keyValue;
    this.metrics.registerGauge('key_value_service_era', () => era.current ?? 0);
    this.metrics.registerGauge('process_resident_bytes', () => process.memoryUsage().rss);
  }

  private registerCallerMetrics(guard: CallerGuard): void {
    callerGauges(guard).forEach(([name, read]) => this.metrics.registerGauge(name, read));
    callerCounters(guard).forEach(([name, read]) => this.metrics.registerCounter(name, read));
  }

  private cancelCallsOfWithdrawnKeys(): void {
    const { declarations } = this.view;
    this.exchanges.cancelWhere(({ call: { keyIdentifier, accountName } }) => {
      const isAccepted =
        keyIdentifier === undefined ||
        accountName === undefined ||
        declarations.acceptsKey(keyIdentifier, accountName);
      return isAccepted
        ? undefined
        : new RelayError({ kind: FailureKind.KeyWithdrawn, keyIdentifier });
    });
  }
}
