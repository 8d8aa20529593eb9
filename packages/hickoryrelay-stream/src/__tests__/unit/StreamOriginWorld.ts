import { invariant } from 'hickoryrelay/Invariant';
import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { Task } from 'hickoryrelay/Task';

import { OriginChannel } from 'hickoryrelay-stream/OriginChannel';
import { StreamOriginExchangeTask } from 'hickoryrelay-stream/StreamOriginExchangeTask';
import { decodeStreamOrigin, streamOriginElements } from 'hickoryrelay-stream/StreamOriginMessage';
import { StreamOrigins } from 'hickoryrelay-stream/StreamOrigins';
import { VersionHistory } from 'hickoryrelay-stream/VersionHistory';

import type { TaskContext } from 'hickoryrelay/Task';
import type { OriginAddress, OriginPeer } from 'hickoryrelay-stream/OriginChannel';
import type { RouteTable } from 'hickoryrelay-stream/RouteHistory';
import type { SoftwareVersion } from 'hickoryrelay-stream/SoftwareVersion';
import type { StreamOriginMessage } from 'hickoryrelay-stream/StreamOriginMessage';
import type { StreamOrigin } from 'hickoryrelay-stream/StreamOrigins';
import type { StreamTarget } from 'hickoryrelay-stream/StreamTarget';

export const SERVICE = 'chat';
export const OTHER_SERVICE = 'other';
/** What the simulated clients ask for. */
export const TARGET: StreamTarget = { host: 'h.example', path: '/a/b', services: [SERVICE] };

export function makeRoutes(...services: readonly string[]): RouteTable {
  return { servicesFingerprint: services.join(' '), servicesFor: () => services };
}

export const BOUND_MILLISECONDS = 2000;
const READ_PERIOD_MILLISECONDS = 800;
const LONGEST_READ_MILLISECONDS = 10;
const ZONES = 3;

/** Share of datagrams that are lost, and the longest time that one takes. */
export interface NetworkFaults {
  readonly loss: number;
  readonly delayMilliseconds: number;
}

class WorldChannel extends OriginChannel {
  private readonly world: StreamOriginWorld;

  private readonly instance: WorldInstance;

  constructor(world: StreamOriginWorld, instance: WorldInstance) {
    super();
    this.world = world;
    this.instance = instance;
  }

  override get self(): OriginPeer {
    return this.instance.address;
  }

  override get peers(): readonly OriginPeer[] {
    if (this.instance.isAlone) {
      return [];
    }
    return this.world.instances.map(({ address }) => address).filter((peer) => peer !== this.self);
  }

  override send(addresses: readonly OriginAddress[], message: StreamOriginMessage): void {
    addresses.forEach(({ port }) => this.world.transmit(this.instance, port, message));
  }

  override subscribe(listener: (message: StreamOriginMessage) => void): () => void {
    this.instance.listener = listener;
    return () => {
      this.instance.listener = undefined;
    };
  }
}

/** Reads the versions from the store periodically. */
class ReadTask extends Task {
  override readonly name = 'read';

  private readonly world: StreamOriginWorld;

  private readonly instance: WorldInstance;

  constructor(world: StreamOriginWorld, instance: WorldInstance) {
    super();
    this.world = world;
    this.instance = instance;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    for (;;) {
      const phase = this.instance.address.port % 97;
      if (!this.instance.isCutOff && !this.instance.isSuspended && !this.world.isStoreDown) {
        const requestedMilliseconds = clock.monotonicMilliseconds();
        const versions = new Set(this.world.versions);
        const { routes } = this.world;
        await clock.sleep(phase % LONGEST_READ_MILLISECONDS, signal);
        while (this.instance.isSuspended) {
          await clock.sleep(LONGEST_READ_MILLISECONDS, signal);
        }
        this.instance.observe(
          versions,
          routes,
          clock.monotonicMilliseconds() - requestedMilliseconds,
        );
      }
      yield;
      await clock.sleep(READ_PERIOD_MILLISECONDS + phase, signal);
    }
  }
}

/** An instance, which loses what it knows when it is killed. */
export class WorldInstance {
  readonly address: OriginPeer;

  /** True while neither the store nor other instances can be reached. */
  isCutOff = false;

  /** True while the registrations of all other instances have lapsed. */
  isAlone = false;

  listener: ((message: StreamOriginMessage) => void) | undefined;

  /** What the instance handles once its process runs again. Undefined while it runs. */
  private postponed: (() => void)[] | undefined;

  /** The versions that the last read has found. */
  private viewedVersions: ReadonlySet<SoftwareVersion> = new Set();

  /** The routes that the last read has found. */
  viewedRoutes: RouteTable | undefined;

  history = new VersionHistory(BOUND_MILLISECONDS);

  /** Undefined while the instance is not running. */
  origins: StreamOrigins | undefined;

  private lifecycle: LifecycleManager | undefined;

  private readonly world: StreamOriginWorld;

  constructor(world: StreamOriginWorld, port: number) {
    this.world = world;
    this.address = {
      instance: `instance-${port}`,
      zone: `zone-${port % ZONES}`,
      host: '127.0.0.1',
      port,
    };
  }

  start(): void {
    const { clock, failures } = this.world;
    this.history = new VersionHistory(BOUND_MILLISECONDS);
    this.viewedVersions = new Set();
    this.viewedRoutes = undefined;
    this.origins = new StreamOrigins(this.history, clock);
    this.lifecycle = new LifecycleManager('instance', clock, (owner, failure) =>
      failures.push(`${owner}: ${failure.kind}`),
    );
    const channel = new WorldChannel(this.world, this);
    this.lifecycle.start(new StreamOriginExchangeTask({ channel, origins: this.origins }));
    this.lifecycle.start(new ReadTask(this.world, this));
  }

  get isSuspended(): boolean {
    return this.postponed !== undefined;
  }

  /** Stops the process until `resume`. */
  suspend(): void {
    this.postponed ??= [];
  }

  /** Handles first what has arrived meanwhile. */
  resume(): void {
    const postponed = this.postponed ?? [];
    this.postponed = undefined;
    postponed.forEach((handle) => handle());
  }

  /** Calls a function once the process runs. */
  run(handle: () => void): void {
    if (this.postponed === undefined) {
      handle();
    } else {
      this.postponed.push(handle);
    }
  }

  observe(
    versions: ReadonlySet<SoftwareVersion>,
    routes: RouteTable,
    ageMilliseconds: number,
  ): void {
    const services = versions.size === 0 ? [] : [SERVICE, OTHER_SERVICE];
    this.viewedVersions = versions;
    this.viewedRoutes = routes;
    this.origins?.observe(new Map(services.map((name) => [name, versions])), ageMilliseconds);
    this.origins?.observeRoutes(routes, ageMilliseconds);
  }

  async kill(): Promise<void> {
    this.origins = undefined;
    this.listener = undefined;
    this.postponed = undefined;
    await this.lifecycle?.stop();
  }

  /** The versions at which the call path may begin streams. */
  get usableVersions(): readonly SoftwareVersion[] {
    return this.history
      .versionsOf(SERVICE)
      .filter((version) => this.viewedVersions.has(version))
      .filter((version) => this.history.isEstablished(SERVICE, version));
  }
}

/** Instances on a network that loses, delays and reorders datagrams, before engines of one service. */
export class StreamOriginWorld {
  readonly clock = new ManualClock();

  readonly instances: readonly WorldInstance[];

  isStoreDown = false;

  routes = makeRoutes(SERVICE);

  /** The versions of the engines in the store. */
  readonly versions = new Set<SoftwareVersion>(['1']);

  readonly failures: string[] = [];

  datagrams = 0;

  observeDatagram: (elements: unknown[]) => void = () => {};

  private readonly random: SeededRandomSource;

  private readonly faults: NetworkFaults;

  constructor(count: number, faults: NetworkFaults = { loss: 0, delayMilliseconds: 1 }, seed = 1) {
    this.faults = faults;
    this.random = new SeededRandomSource(seed);
    this.instances = Array.from(
      { length: count },
      (_, index) => new WorldInstance(this, index + 1),
    );
    this.instances.forEach((instance) => instance.start());
  }

  instance(index: number): WorldInstance {
    const instance = this.instances[index % this.instances.length];
    invariant(instance !== undefined, `the world has no instance ${index}`);
    return instance;
  }

  begin(
    index: number,
    identifier: string,
    version: SoftwareVersion,
    target = TARGET,
    service = SERVICE,
  ): () => void {
    return this.instance(index).origins?.begin(target, service, identifier, version) ?? (() => {});
  }

  /** Returns what `find` resolves to within the time limit. */
  async findOrigin(
    index: number,
    identifier: string,
    target: StreamTarget,
  ): Promise<Omit<StreamOrigin, 'source'> | undefined> {
    const { signal } = new AbortController();
    const found = this.instance(index).origins?.find(target, identifier, signal);
    await this.clock.advance(105);
    const origin = await found;
    return origin === undefined ? undefined : { service: origin.service, version: origin.version };
  }

  /** The version of what `findOrigin` returns. */
  async find(
    index: number,
    identifier: string,
    target = TARGET,
  ): Promise<Pick<StreamOrigin, 'version'> | undefined> {
    const origin = await this.findOrigin(index, identifier, target);
    return origin === undefined ? undefined : { version: origin.version };
  }

  transmit(from: WorldInstance, port: number, message: StreamOriginMessage): void {
    const elements = streamOriginElements(message);
    this.datagrams += 1;
    this.observeDatagram(elements);
    const to = this.instance(port - 1);
    if (from.isSuspended) {
      from.run(() => this.transmit(from, port, message));
      return;
    }
    if (from.isCutOff || to.isCutOff || this.random.fraction() < this.faults.loss) {
      return;
    }
    const [, ...fields] = elements;
    this.clock.schedule(this.random.fraction() * this.faults.delayMilliseconds, () => {
      const decoded = decodeStreamOrigin(fields);
      if (decoded !== undefined && !to.isCutOff) {
        to.run(() => to.listener?.(decoded));
      }
    });
  }

  async stop(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.kill()));
  }
}
