import { LogPrefix } from 'hickoryrelay/Logger';
import { LinkedPeerNetwork } from 'hickoryrelay-link/LinkedPeerNetwork';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import { ConfigurationExchangeTask } from './ConfigurationExchangeTask.js';
import { ConfigurationPollTask } from './ConfigurationPollTask.js';
import { ConfigurationRecovery } from './ConfigurationRecovery.js';
import { ConfigurationUpdater } from './ConfigurationUpdater.js';
import { ConfigurationWatchTask } from './ConfigurationWatchTask.js';
import { DigestTask } from './DigestTask.js';
import { GossipTask } from './GossipTask.js';
import { InstanceDigest } from './InstanceDigest.js';
import { Membership } from './Membership.js';
import { MembershipTask } from './MembershipTask.js';

import type { ConfigurationView } from './ConfigurationView.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { LifecycleManager } from 'hickoryrelay/LifecycleManager';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { PeerTransport } from 'hickoryrelay-link/PeerConnection';
import type { PeerAddress } from 'hickoryrelay-link/PeerConnector';
import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import type { InstanceList, ListedInstance } from 'hickoryrelay-platform/InstanceList';

const INCARNATION_TIME_DIGITS = 12;
/** Keeps the incarnations of 640 instances that start in the same millisecond distinct. */
const INCARNATION_RANDOM_BYTES = 4;

/** Constructor arguments of `ControlPlane`. */
export interface ControlPlaneParts {
  readonly instance: { readonly name: string; readonly zone: string };
  readonly transport: PeerTransport;
  /** Peers to connect to while no live instance is known. */
  readonly seeds?: readonly PeerAddress[];
  readonly store: ConfigurationStore;
  readonly instances: InstanceList;
  /** Available once the caller API is listening. */
  readonly callersUrl: () => string;
  readonly view: ConfigurationView;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly lifecycle: LifecycleManager;
  readonly log: (prefix: LogPrefix) => ComponentLogger;
}

/**
 * Creates the identity of a new run of an instance. The incarnation begins with the start time, so
 * that later runs sort after earlier ones.
 */
function createIdentity({ clock, instance, random }: ControlPlaneParts): InstanceIdentity {
  const time = Math.floor(clock.wallMilliseconds())
    .toString(16)
    .padStart(INCARNATION_TIME_DIGITS, '0');
  const incarnation = `${time}${random.identifier(INCARNATION_RANDOM_BYTES)}`;
  return { name: instance.name, zone: instance.zone, incarnation };
}

/** The control plane of an instance: peers, membership, digests and configuration. */
export class ControlPlane {
  readonly network: LinkedPeerNetwork;

  readonly membership: Membership;

  readonly digest: InstanceDigest;

  readonly configurationUpdater: ConfigurationUpdater;

  private readonly configurationRecovery: ConfigurationRecovery;

  private readonly parts: ControlPlaneParts;

  private state: InstanceState = InstanceState.Live;

  constructor(parts: ControlPlaneParts) {
    this.parts = parts;
    const { clock, lifecycle, log, random, store, transport, view } = parts;
    const identity = createIdentity(parts);
    const configurationStatus = () => ({
      revision: view.revision,
      configurationTag: view.tag,
      viewAgeMilliseconds: view.ageMilliseconds,
    });
    this.network = new LinkedPeerNetwork({
      identity,
      transport,
      clock,
      random,
      lifecycle,
      configurationStatus,
      log: log(LogPrefix.Peer),
    });
    this.membership = new Membership(identity, clock, parts.seeds);
    this.digest = new InstanceDigest(
      this.membership,
      clock,
      configurationStatus,
      () => transport.url,
    );
    const configurationLog = log(LogPrefix.Configuration);
    this.configurationRecovery = new ConfigurationRecovery({
      view,
      store,
      clock,
      log: configurationLog,
      author: identity.name,
    });
    this.configurationUpdater = new ConfigurationUpdater(
      view,
      store,
      clock,
      configurationLog,
      this.configurationRecovery,
    );
  }

  async start(): Promise<void> {
    const { instances, lifecycle, log, random, store, view } = this.parts;
    const { digest, configurationUpdater, membership, network } = this;
    lifecycle.own('configuration recovery', this.configurationRecovery.observe());
    await network.listen();
    lifecycle.start(new ConfigurationExchangeTask(network, configurationUpdater, view, digest));
    lifecycle.start(new DigestTask(network, membership, digest));
    lifecycle.start(new ConfigurationPollTask(configurationUpdater, digest, random));
    const watchLog = log(LogPrefix.Configuration);
    lifecycle.start(
      new ConfigurationWatchTask(store, configurationUpdater, membership, random, watchLog),
    );
    lifecycle.start(
      new MembershipTask(
        membership,
        instances,
        () => this.announcement(),
        random,
        log(LogPrefix.Membership),
      ),
    );
    lifecycle.start(new GossipTask(network, membership, digest, random));
  }

  /** Announces to peers and to the platform that this instance accepts no new calls. */
  async leave(): Promise<void> {
    this.state = InstanceState.Leaving;
    this.digest.leave();
    this.network.broadcast({ type: 'leaving', identity: this.network.identity });
    // Peers are already informed, and an unreachable platform must not block the shutdown.
    await this.parts.instances.register(this.announcement()).catch(() => {});
  }

  private announcement(): ListedInstance {
    const { callersUrl, instance, transport } = this.parts;
    const { name, zone } = instance;
    return { name, zone, state: this.state, callersUrl: callersUrl(), peersUrl: transport.url };
  }
}
