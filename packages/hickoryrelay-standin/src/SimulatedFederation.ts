import { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import { silentLogger } from 'hickoryrelay/Logger';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { SeededRandomSource } from 'hickoryrelay/RandomSource';
import { ConfigurationView } from 'hickoryrelay-instance/ConfigurationView';
import { ControlPlane } from 'hickoryrelay-instance/ControlPlane';
import { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';

import { FaultTally } from './FaultTally.js';
import { MemoryNet } from './MemoryPeerTransport.js';
import { MemoryInstanceList, MemoryKeyValueStore, MemoryPlatform } from './MemoryPlatform.js';
import { ProcessClock } from './ProcessClock.js';
import type { Failure } from 'hickoryrelay/Failure';
import type { PeerAddress } from 'hickoryrelay-link/PeerConnector';

/** The control part of one run of an instance in a simulated federation. */
export class SimulatedInstance {
  readonly name: string;

  readonly zone: string;

  readonly url: string;

  readonly clock: ProcessClock;

  readonly view: ConfigurationView;

  readonly controlPlane: ControlPlane;

  readonly failures: Failure[] = [];

  isPaused = false;

  private readonly lifecycle: LifecycleManager;

  constructor(
    federation: SimulatedFederationParts,
    name: string,
    zone: string,
    seeds: readonly PeerAddress[] = [],
  ) {
    const { clock, net, platform, random, tally } = federation;
    this.name = name;
    this.zone = zone;
    this.url = `ws://${name}`;
    this.clock = new ProcessClock(clock);
    this.clock.tally = tally;
    this.view = new ConfigurationView(this.clock);
    this.lifecycle = new LifecycleManager(name, this.clock, (owner, failure) => {
      this.failures.push(failure);
    });
    this.controlPlane = new ControlPlane({
      instance: { name, zone },
      transport: net.transport(this.url),
      seeds,
      store: new ConfigurationStore(new MemoryKeyValueStore(platform, name, this.clock), random),
      instances: new MemoryInstanceList(platform, name, this.clock),
      callersUrl: () => `http://${name}`,
      view: this.view,
      clock: this.clock,
      random,
      lifecycle: this.lifecycle,
      log: () => silentLogger,
    });
  }

  start(): Promise<void> {
    return this.controlPlane.start();
  }

  /** Ends the run without any farewell, as a fault. */
  kill(net: MemoryNet): void {
    this.clock.kill();
    this.end(net);
  }

  /** Ends the run without any farewell, when a test is over. */
  end(net: MemoryNet): void {
    net.kill(this.url);
    this.clock.end();
    void this.lifecycle.stop();
  }

  /** Ends the run as a planned stop does. */
  async stop(): Promise<void> {
    await this.controlPlane.leave();
    await this.lifecycle.stop();
  }
}

interface SimulatedFederationParts {
  readonly clock: ManualClock;
  readonly net: MemoryNet;
  readonly platform: MemoryPlatform;
  readonly random: SeededRandomSource;
  readonly tally: FaultTally;
}

/** Control parts of many instances in one process, on a clock that tests move. */
export class SimulatedFederation implements SimulatedFederationParts {
  readonly clock: ManualClock;

  readonly net = new MemoryNet();

  readonly platform: MemoryPlatform;

  readonly random: SeededRandomSource;

  readonly tally: FaultTally;

  /** The live run of each instance. */
  readonly instances = new Map<string, SimulatedInstance>();

  constructor(seed: number, clock = new ManualClock(), tally = new FaultTally()) {
    this.clock = clock;
    this.tally = tally;
    this.net.tally = tally;
    this.platform = new MemoryPlatform(clock);
    this.platform.tally = tally;
    this.random = new SeededRandomSource(seed);
  }

  /** Starts an instance, or a new run of it. */
  async start(
    name: string,
    zone: string,
    seeds: readonly PeerAddress[] = [],
  ): Promise<SimulatedInstance> {
    const instance = new SimulatedInstance(this, name, zone, seeds);
    this.instances.set(name, instance);
    await instance.start();
    return instance;
  }

  kill(name: string): void {
    this.instances.get(name)?.kill(this.net);
    this.remove(name);
  }

  setPaused(name: string, isPaused: boolean): void {
    const instance = this.instances.get(name);
    if (instance === undefined || instance.isPaused === isPaused) {
      return;
    }
    instance.isPaused = isPaused;
    if (isPaused) {
      instance.clock.pause();
    }
    this.net.setPaused(instance.url, isPaused);
    if (!isPaused) {
      void instance.clock.resume();
    }
  }

  /** Ends all faults; instances that were killed stay so. */
  heal(): void {
    this.platform.heal();
    this.net.heal();
    [...this.instances.keys()].forEach((name) => this.setPaused(name, false));
  }

  /** An operator's access to the configuration. */
  operator(name: string): ConfigurationStore {
    return new ConfigurationStore(
      new MemoryKeyValueStore(this.platform, name, this.clock),
      this.random,
    );
  }

  stop(): void {
    this.instances.forEach((instance) => instance.end(this.net));
    [...this.instances.keys()].forEach((name) => this.remove(name));
  }

  private remove(name: string): void {
    this.instances.delete(name);
    this.net.setPaused(`ws://${name}`, false);
  }
}
