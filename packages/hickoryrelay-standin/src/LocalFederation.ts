import { SystemClock } from 'hickoryrelay/Clock';
import { invariant } from 'hickoryrelay/Invariant';
import { createProcessLogger } from 'hickoryrelay/Logger';
import { SystemRandomSource } from 'hickoryrelay/RandomSource';
import { AccessKey } from 'hickoryrelay-contract/AccessKey';
import { declarationsSchema } from 'hickoryrelay-contract/Declarations';
import { settingsSchema } from 'hickoryrelay-contract/Settings';
import { Instance } from 'hickoryrelay-instance/Instance';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import { SupplyState } from 'hickoryrelay-platform/EndpointSupply';
import { EtcdKeyValueStore } from 'hickoryrelay-platform/EtcdKeyValueStore';
import {
  HttpEndpointSupply,
  HttpInstanceList,
  HttpUsageReportSink,
} from 'hickoryrelay-platform/HttpPlatform';

import { EngineStandIn } from './EngineStandIn.js';
import { KeyValueGateway } from './KeyValueGateway.js';
import { KeyValueTable } from './KeyValueTable.js';
import { PlatformStandIn } from './PlatformStandIn.js';
import { ServiceStandIn } from './ServiceStandIn.js';

import type { EngineTimes } from './EngineStandIn.js';
import type { JsonServer } from './JsonServer.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';

const READY_ATTEMPTS = 600;
const READY_INTERVAL_MILLISECONDS = 25;

/** Federation in one process, on free loopback ports, for tests and benchmarks. */
export class LocalFederation {
  readonly clock: Clock;

  readonly random = new SystemRandomSource();

  readonly gateway: KeyValueGateway;

  readonly platform = new PlatformStandIn();

  readonly instances: Instance[] = [];

  private readonly endpoints: JsonServer[] = [];

  private readonly stores: EtcdKeyValueStore[] = [];

  constructor(clock: Clock = new SystemClock()) {
    this.clock = clock;
    this.gateway = new KeyValueGateway(new KeyValueTable(clock));
  }

  async start(): Promise<void> {
    await this.gateway.listen();
    await this.platform.listen();
  }

  /** Replaces the stored configuration with the document. */
  async apply(document: DeclarationsDocument): Promise<void> {
    const store = this.openStore();
    const configurations = new ConfigurationStore(store);
    const head = await configurations.readHead();
    await configurations.replace(document, head?.revision ?? 0, {
      author: 'federation',
      summary: 'apply',
      wallMilliseconds: this.clock.wallMilliseconds(),
    });
  }

  /** Adds a new key to the account in the document and returns its text. Does not apply it. */
  issueKey(document: DeclarationsDocument, accountName: string): string {
    const { text, declaration } = AccessKey.issue(this.random);
    const account = document.accounts.find(({ name }) => name === accountName);
    invariant(account !== undefined, `no account named ${accountName}`);
    account.keys = [...(account.keys ?? []), declaration];
    return text;
  }

  async addEngine(
    identifier: string,
    placement: { kind: string; zone: string; models: readonly string[]; times: EngineTimes },
  ): Promise<EngineStandIn> {
    const engine = new EngineStandIn(placement.models, placement.times);
    await this.addEndpoint(identifier, placement.kind, placement.zone, engine);
    return engine;
  }

  async addService(identifier: string, kind: string, zone: string): Promise<ServiceStandIn> {
    const service = new ServiceStandIn();
    await this.addEndpoint(identifier, kind, zone, service);
    return service;
  }

  /** Starts an entry instance and waits until it is ready. */
  async addInstance(name: string, zone: string, settings: object = {}): Promise<Instance> {
    const instance = new Instance({
      settings: settingsSchema.parse({
        instance: { name, zone },
        callers: { address: '127.0.0.1', port: 0 },
        peers: { address: '127.0.0.1', port: 0 },
        platform: {
          keyValue: [this.gateway.url],
          supply: this.platform.url,
          instances: this.platform.url,
          usage: this.platform.url,
        },
        drain: { announceSeconds: 0, deadlineSeconds: 5 },
        ...settings,
      }),
      clock: this.clock,
      random: this.random,
      logger: createProcessLogger('error', name),
      platform: {
        keyValue: this.openStore(),
        supply: new HttpEndpointSupply(this.platform.url),
        instances: new HttpInstanceList(this.platform.url),
        usage: new HttpUsageReportSink(this.platform.url),
      },
    });
    await instance.start();
    this.instances.push(instance);
    await this.waitUntil(() => instance.isReady && [...instance.fleet.endpoints()].length > 0);
    return instance;
  }

  /** Base URL at which an instance accepts calls. */
  urlOf(instance: Instance): string {
    const { address, port } = instance.callersAddress;
    return `http://${address}:${port}`;
  }

  /** Polls a condition until it holds or the attempts run out. Returns whether it holds. */
  async waitUntil(condition: () => boolean): Promise<boolean> {
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
      if (condition()) {
        return true;
      }
      await this.clock.sleep(READY_INTERVAL_MILLISECONDS);
    }
    return condition();
  }

  async stop(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.stop()));
    await Promise.all(this.stores.map((store) => store.close()));
    await Promise.all(this.endpoints.map((endpoint) => endpoint.close()));
    await Promise.all([this.platform.close(), this.gateway.close()]);
  }

  private openStore(): EtcdKeyValueStore {
    const store = new EtcdKeyValueStore({ urls: [this.gateway.url] });
    this.stores.push(store);
    return store;
  }

  private async addEndpoint(
    identifier: string,
    kind: string,
    zone: string,
    endpoint: JsonServer,
  ): Promise<void> {
    await endpoint.listen();
    this.endpoints.push(endpoint);
    this.platform.endpoints.set(identifier, {
      identifier,
      kind,
      zone,
      url: endpoint.url,
      state: SupplyState.Live,
    });
  }
}

/** A small valid declarations document for tests. */
export function sampleDeclarations(): DeclarationsDocument {
  return declarationsSchema.parse({
    version: 1,
    budget: { costPerHour: 100 },
    classes: [
      {
        name: 'ask',
        kind: 'model',
        models: ['model-one'],
        targets: { lateness: { firstTokenMilliseconds: 1500 }, loss: 0.01, cost: 1 },
      },
      {
        name: 'book',
        kind: 'service',
        route: 'book',
        idempotent: false,
        targets: { lateness: { completionMilliseconds: 2000 }, loss: 0.01, cost: 1 },
      },
      {
        name: 'look',
        kind: 'service',
        route: 'look',
        idempotent: true,
        open: true,
        targets: { lateness: { completionMilliseconds: 2000 }, loss: 0.01, cost: 1 },
      },
    ],
    accounts: [
      { name: 'first', classes: ['ask', 'book'] },
      { name: 'second', classes: ['ask'] },
    ],
    endpointKinds: [
      {
        name: 'engine',
        serves: 'model',
        models: ['model-one'],
        checksFencing: true,
        costPerHour: 4,
      },
      {
        name: 'service',
        serves: 'service',
        routes: ['book', 'look'],
        checksFencing: false,
        costPerHour: 1,
      },
    ],
  });
}
