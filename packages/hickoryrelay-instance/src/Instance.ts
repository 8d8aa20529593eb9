import { ServiceBroker } from 'moleculer';
import { FailureKind, describeFailure } from 'hickoryrelay/Failure';
import { invariant } from 'hickoryrelay/Invariant';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { LogPrefix, partLogger } from 'hickoryrelay/Logger';
import { RelayError } from 'hickoryrelay/RelayError';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';
import { WebSocketPeerTransport } from 'hickoryrelay-link/WebSocketPeerTransport';
import { Fleet } from 'hickoryrelay-zone/Fleet';
import { LeastOutstandingSelection } from 'hickoryrelay-zone/SelectionPolicy';

import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Settings } from 'hickoryrelay-contract/Settings';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { Call } from 'hickoryrelay-link/Call';
import type { EndpointSupply } from 'hickoryrelay-platform/EndpointSupply';
import type { InstanceList } from 'hickoryrelay-platform/InstanceList';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';
import type { Logger as ProcessLogger } from 'winston';
import { FleetTask } from './FleetTask.js';
import { Exchange } from './Exchange.js';
import { EndpointLinks } from './EndpointLinks.js';
import { ConfigurationView } from './ConfigurationView.js';
import { InstanceControl } from './InstanceControl.js';
import { CallersInterface } from './CallersService.js';
import { ConcurrencyLimitAdmission } from './AdmissionPolicy.js';
import type { ExchangeParts } from './Exchange.js';

/** The services of the platform that an instance uses. */
export interface PlatformServices {
  readonly keyValue: KeyValueStore;
  readonly supply: EndpointSupply;
  readonly instances: InstanceList;
  readonly usage: UsageReportSink;
}

/** What an instance is made of. */
export interface InstanceParts {
  readonly settings: Settings;
  readonly platform: PlatformServices;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: ProcessLogger;
}

/** What `GET /admin/status` returns. */
export interface InstanceStatus {
  readonly name: string;
  readonly zone: string;
  readonly state: InstanceState;
  readonly ready: boolean;
  readonly revision: number;
  readonly callsInFlight: number;
}

const REQUEST_IDENTIFIER_BYTES = 12;

/** An entry instance: one process between callers and endpoints, equal to all others. */
export class Instance {
  readonly settings: Settings;

  readonly clock: Clock;

  readonly view: ConfigurationView;

  readonly fleet = new Fleet();

  private readonly parts: InstanceParts;

  private readonly lifecycle: LifecycleManager;

  private readonly links = new EndpointLinks();

  private readonly exchangeParts: ExchangeParts;

  private readonly exchanges = new Set<Exchange>();

  private state: InstanceState = InstanceState.Live;

  private server: Server | undefined;

  private control: InstanceControl | undefined;

  constructor(parts: InstanceParts) {
    this.parts = parts;
    this.settings = parts.settings;
    this.clock = parts.clock;
    this.view = new ConfigurationView(parts.clock);
    const log = partLogger(parts.logger, LogPrefix.Daemon);
    this.lifecycle = new LifecycleManager('instance', parts.clock, (owner, failure) => {
      log.error('A part failed.', { owner, reason: describeFailure(failure) });
    });
    this.exchangeParts = {
      admission: new ConcurrencyLimitAdmission(parts.settings.limits.callsInFlight),
      selection: new LeastOutstandingSelection(parts.settings.instance.zone),
      fleet: this.fleet,
      links: this.links,
      clock: parts.clock,
    };
  }

  get isReady(): boolean {
    return this.state === InstanceState.Live && this.view.isUsable;
  }

  /** Address and port of the callers' interface, once started. */
  get callersAddress(): AddressInfo {
    const address = this.server?.address();
    invariant(typeof address === 'object' && address !== null, 'the instance has not started');
    return address;
  }

  nextRequestIdentifier(): string {
    return this.parts.random.identifier(REQUEST_IDENTIFIER_BYTES);
  }

  /** Throws `shutting-down` once the instance is leaving. */
  assertTakesWork(): void {
    if (this.state !== InstanceState.Live) {
      throw new RelayError({ kind: FailureKind.ShuttingDown });
    }
  }

  /** Opens the exchange of a call. It is followed until it has run. */
  open(call: Call): Exchange {
    const exchange = new Exchange(call, this.exchangeParts, () => {
      this.exchanges.delete(exchange);
    });
    this.exchanges.add(exchange);
    return exchange;
  }

  status(): InstanceStatus {
    const { name, zone } = this.settings.instance;
    return {
      name,
      zone,
      state: this.state,
      ready: this.isReady,
      revision: this.view.revision,
      callsInFlight: this.exchanges.size,
    };
  }

  async start(): Promise<void> {
    const { logger, platform } = this.parts;
    this.lifecycle.own('endpoint links', () => this.links.close());
    this.lifecycle.own(
      'withdrawn keys',
      this.view.subscribe(() => this.cancelWithdrawn()),
    );
    const endpointLog = partLogger(logger, LogPrefix.Endpoint);
    this.lifecycle.start(
      new FleetTask(platform.supply, this.fleet, this.view, this.links, endpointLog),
    );
    await this.startBroker();
    await this.startControl();
  }

  async stop(): Promise<void> {
    this.state = InstanceState.Leaving;
    await this.control?.leave();
    await this.lifecycle.stop();
  }

  private async startControl(): Promise<void> {
    const { clock, logger, platform, random, settings } = this.parts;
    const { address, port } = this.callersAddress;
    this.control = new InstanceControl({
      place: settings.instance,
      transport: new WebSocketPeerTransport(settings.peers.address, settings.peers.port),
      store: new ConfigurationStore(platform.keyValue),
      instances: platform.instances,
      callersUrl: `http://${address}:${port}`,
      view: this.view,
      clock,
      random,
      lifecycle: this.lifecycle.child('control'),
      log: (prefix) => partLogger(logger, prefix),
    });
    await this.control.start();
  }

  private async startBroker(): Promise<void> {
    const broker = new ServiceBroker({ logger: false, transporter: undefined });
    const callers = new CallersInterface(this);
    broker.createService(
      callers.schema((server) => {
        this.server = server;
      }),
    );
    await broker.start();
    this.lifecycle.own('broker', () => broker.stop());
  }

  private cancelWithdrawn(): void {
    const { declarations } = this.view;
    for (const exchange of this.exchanges) {
      const { keyIdentifier, accountName } = exchange.call;
      const isAccepted =
        keyIdentifier === undefined ||
        accountName === undefined ||
        declarations.acceptsKey(keyIdentifier, accountName);
      if (!isAccepted) {
        exchange.cancel(new RelayError({ kind: FailureKind.KeyWithdrawn, keyIdentifier }));
      }
    }
  }
}
