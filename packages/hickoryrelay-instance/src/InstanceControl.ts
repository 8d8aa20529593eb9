import { LogPrefix } from 'hickoryrelay/Logger';
import { LinkedPeerNetwork } from 'hickoryrelay-link/LinkedPeerNetwork';
import { InstanceState } from 'hickoryrelay-platform/InstanceList';

import { ConfigurationExchangeTask } from './ConfigurationExchangeTask.js';
import { ConfigurationPollTask } from './ConfigurationPollTask.js';
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
import type { PartLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { PeerTransport } from 'hickoryrelay-link/PeerConnection';
import type { PeerAddress } from 'hickoryrelay-link/PeerDialler';
import type { InstanceIdentity } from 'hickoryrelay-link/PeerMessages';
import type { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import type { InstanceList, ListedInstance } from 'hickoryrelay-platform/InstanceList';

const TIME_DIGITS = 12;
/** Runs of 640 instances that start in the same millisecond must differ. */
const RANDOM_BYTES = 4;

/** What the control part of an instance is made of. */
export interface InstanceControlParts {
  readonly place: { readonly name: string; readonly zone: string };
  readonly transport: PeerTransport;
  /** Peers to try while no live instance is known. */
  readonly seeds?: readonly PeerAddress[];
  readonly store: ConfigurationStore;
  readonly instances: InstanceList;
  /** Known once the callers' interface listens. */
  readonly callersUrl: () => string;
  readonly view: ConfigurationView;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly lifecycle: LifecycleManager;
  readonly log: (prefix: LogPrefix) => PartLogger;
}

/** Names a new run of an instance. The start time comes first, so that later runs sort later. */
function newIdentity({ clock, place, random }: InstanceControlParts): InstanceIdentity {
  const time = Math.floor(clock.wallMilliseconds()).toString(16).padStart(TIME_DIGITS, '0');
  const incarnation = `${time}${random.identifier(RANDOM_BYTES)}`;
  return { name: place.name, zone: place.zone, incarnation };
}

/** The control part of an instance: peers, membership, digests and configuration. */
export class InstanceControl {
  readonly network: LinkedPeerNetwork;

  readonly membership: Membership;

  readonly digest: InstanceDigest;

  readonly configurationUpdater: ConfigurationUpdater;

  private readonly parts: InstanceControlParts;

  private state: InstanceState = InstanceState.Live;

  constructor(parts: InstanceControlParts) {
    this.parts = parts;
    const { clock, lifecycle, log, random, store, transport, view } = parts;
    const identity = newIdentity(parts);
    const statement = () => ({
      revision: view.revision,
      viewAgeMilliseconds: view.ageMilliseconds,
    });
    this.network = new LinkedPeerNetwork({
      identity,
      transport,
      clock,
      random,
      lifecycle,
      statement,
      log: log(LogPrefix.Peer),
    });
    this.membership = new Membership(identity, clock, parts.seeds);
    this.digest = new InstanceDigest(this.membership, clock, statement, () => transport.url);
    this.configurationUpdater = new ConfigurationUpdater(
      view,
      store,
      clock,
      log(LogPrefix.Configuration),
    );
  }

  async start(): Promise<void> {
    const { instances, lifecycle, log, random, store, view } = this.parts;
    const { digest, configurationUpdater, membership, network } = this;
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

  /** Tells peers and the platform that this instance takes no new work. */
  async leave(): Promise<void> {
    this.state = InstanceState.Leaving;
    this.digest.leave();
    this.network.broadcast({ type: 'leaving', identity: this.network.identity });
    // The peers know already; a platform that is out of reach must not hold up the end.
    await this.parts.instances.announce(this.announcement()).catch(() => {});
  }

  private announcement(): ListedInstance {
    const { callersUrl, place, transport } = this.parts;
    const { name, zone } = place;
    return { name, zone, state: this.state, callersUrl: callersUrl(), peersUrl: transport.url };
  }
}
