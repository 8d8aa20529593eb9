import { hashString } from 'hickoryrelay/RendezvousUtils';
import { Task } from 'hickoryrelay/Task';

import { LoadRelay, subtractLoads } from './LoadRelay.js';
import { PeerMessageKind } from './PeerMessage.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerLoads } from './PeerLoads.js';
import type { EndpointLoad, LoadMessage, PeerMessage } from './PeerMessage.js';
import type { PeerRecord } from './PeerRecord.js';
import type { PromptCacheDirectory } from './PromptCacheDirectory.js';
import type { RateLimitExchange } from './RateLimitExchange.js';
import type { ZoneRelaySelector } from './ZoneRelaySelector.js';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { AccountUseExchange } from 'hickoryrelay-quota/AccountUseExchange';

/** About the time within which the load of an engine changes. */
const MINIMUM_PERIOD_MILLISECONDS = 100;

const MAXIMUM_MESSAGES_PER_SECOND = 80;

/** With more peers, load is exchanged through the relays of the zones. */
const MAXIMUM_DIRECT_PEERS = 16;

/** Traffic between zones is billed, so zone loads are sent at a lower rate. */
const PERIODS_PER_ZONE_LOAD = 2;

const RELAY_SILENCE_TIMEOUT_MILLISECONDS = 500;

/** Number of relay candidates of another zone to send to while its relay has not sent a message. */
const RELAY_CANDIDATES = 2;

const MILLISECONDS_PER_SECOND = 1000;

/** Average age of a report when the relay sends the digest that contains it. */
const DIGEST_AGE_MILLISECONDS = MINIMUM_PERIOD_MILLISECONDS;

/** Limit on the rates of endpoints in a message of one instance, of about ten bytes each. */
const MAXIMUM_RATES = 16;

/** Limit on the learned rates that are added to the observed ones for instances that have started. */
const MAXIMUM_LEARNED_RATES = 32;

/** Collaborators and settings of the task. */
export interface LoadExchangeParts {
  readonly self: PeerRecord;
  readonly channel: PeerChannel;
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly loads: PeerLoads;
  readonly directory: PromptCacheDirectory;
  readonly rateLimits: RateLimitExchange;
  readonly relaySelector: ZoneRelaySelector;
  /** Absent if the quotas of accounts are not shared. */
  readonly accountUse?: AccountUseExchange;
  readonly log: ComponentLogger;
}

/**
 * Exchanges load with the other instances: the requests in flight at each endpoint, the shared prompt
 * segments that engines have prefilled, and the rate limits that endpoints have stated. A few
 * instances send to each other directly. With more, each reports to the relay of its zone, which sends
 * it digests, and the relays exchange the loads of their zones.
 */
export class LoadExchangeTask extends Task {
  override readonly name = 'load exchange';

  private readonly parts: LoadExchangeParts;

  private readonly relay = new LoadRelay();

  private wasIdle = false;

  /** Loads of the last report to the relay, which are included in its digests. */
  private lastReportedLoads: readonly EndpointLoad[] = [];

  /** Relay that this instance reports to, and the time since which it has sent no digest. */
  private selectedRelay: { readonly instance: string; silentSinceMilliseconds: number } | undefined;

  private completedPeriods = 0;

  /** Hash that marks the uses reported by this instance. */
  private readonly origin: number;

  constructor(parts: LoadExchangeParts) {
    super();
    this.parts = parts;
    this.origin = hashString(parts.self.instance);
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    const { self, channel, loads, registry } = this.parts;
    const unsubscribe = channel.subscribe((message) => {
      this.handleMessage(message, clock.monotonicMilliseconds());
    });
    try {
      for (;;) {
        const now = clock.monotonicMilliseconds();
        const peers = this.otherPeers();
        loads.expire(now);
        this.relay.expire(now);
        registry.workload.setInstances(
          peers.map(({ zone }) => zone),
          self.zone,
          now,
        );
        if (peers.length <= MAXIMUM_DIRECT_PEERS) {
          this.parts.accountUse?.refreshDirect(now);
          this.broadcastLoad(peers, now);
        } else {
          this.reportLoad(now);
        }
        this.distributeLoads(now);
        yield;
        await clock.sleep(this.periodMilliseconds(peers.length), signal);
      }
    } finally {
      unsubscribe();
    }
  }

  private periodMilliseconds(peers: number): number {
    const directPeriod =
      peers <= MAXIMUM_DIRECT_PEERS
        ? (peers / MAXIMUM_MESSAGES_PER_SECOND) * MILLISECONDS_PER_SECOND
        : 0;
    return Math.max(MINIMUM_PERIOD_MILLISECONDS, directPeriod);
  }

  private otherPeers(): readonly PeerRecord[] {
    const { view, self } = this.parts;
    return view.peers.filter(({ instance }) => instance !== self.instance);
  }

  private handleMessage(message: PeerMessage, now: number): void {
    switch (message.kind) {
      case PeerMessageKind.Load:
        this.parts.rateLimits.receive(message);
        this.parts.accountUse?.receiveDirect(message.sender, message.accountUse, now);
        this.applyLoad(message, now);
        break;
      case PeerMessageKind.LoadDigest:
        if (message.sender === this.selectedRelay?.instance) {
          this.selectedRelay.silentSinceMilliseconds = now;
        }
        this.parts.rateLimits.receive(message);
        this.applyDigest(message, now);
        break;
      case PeerMessageKind.LoadReport:
        this.parts.rateLimits.receive(message);
        this.addReport(message, now);
        this.recordUses(message, now);
        break;
      case PeerMessageKind.ZoneLoad:
        this.parts.rateLimits.receive(message);
        this.handleZoneLoad(message, now);
        break;
      default:
    }
  }

  private handleZoneLoad(message: LoadMessage, now: number): void {
    const sender = this.parts.view.peers.find(({ instance }) => instance === message.sender);
    if (sender !== undefined) {
      this.relay.addZoneLoad(sender.zone, message, now);
      this.parts.accountUse?.addZone(sender.zone, message.sender, message.accountUse, now);
      this.recordUses(message, now);
    }
  }

  /** Digests of different relays cover mostly the same instances, so the latest replaces all. */
  private applyDigest({ loads, ...message }: LoadMessage, now: number): void {
    this.parts.accountUse?.receiveDigest(message.sender, message.accountUse, now);
    const otherLoads = subtractLoads(loads, this.lastReportedLoads);
    this.applyLoad({ ...message, sender: '', loads: otherLoads }, now, DIGEST_AGE_MILLISECONDS);
  }

  private applyLoad(message: LoadMessage, now: number, ageMilliseconds = 0): void {
    this.parts.loads.receive(message, now, ageMilliseconds);
    this.recordUses(message, now);
  }

  private recordUses({ uses, rates = [] }: LoadMessage, now: number): void {
    const { directory, registry } = this.parts;
    registry.workload.receive(rates, now);
    uses
      .filter(({ origin }) => origin !== this.origin)
      .forEach((use) => directory.record(use, now));
  }

  /** As the relay of the zone, takes the report of one of its instances. */
  private addReport(message: LoadMessage, now: number): void {
    this.relay.addReport(message, now);
    this.parts.accountUse?.addMember(message.sender, message.accountUse, now);
  }

  private ownLoad(kind: LoadMessage['kind'], now: number): LoadMessage {
    const { self, registry, directory, rateLimits, accountUse } = this.parts;
    const ownUse = accountUse?.ownReport(now);
    return {
      kind,
      sender: self.instance,
      loads: [...registry.ownLoads()],
      uses: directory.takePendingUses().map((use) => ({ ...use, origin: this.origin })),
      rateLimits: rateLimits.reports(),
      rates: registry.workload.takeReports(MAXIMUM_RATES, now),
      ...(ownUse === undefined ? {} : { accountUse: ownUse }),
    };
  }

  private broadcastLoad(peers: readonly PeerRecord[], now: number): void {
    const { workload } = this.parts.registry;
    const load = this.ownLoad(PeerMessageKind.Load, now);
    const observed = load.rates ?? [];
    const learned = workload.takeLearnedReports(MAXIMUM_LEARNED_RATES, observed.length, now);
    const message = { ...load, rates: [...observed, ...learned] };
    // While accounts have quotas, peers need to hear that this instance uses nothing.
    const isIdle =
      message.loads.length === 0 &&
      message.uses.length === 0 &&
      message.rateLimits.length === 0 &&
      message.rates.length === 0 &&
      message.accountUse === undefined;
    if (!(isIdle && this.wasIdle)) {
      this.parts.channel.sendToAll(peers, message);
    }
    this.wasIdle = isIdle;
  }

  /** Reports to the relay of the zone, which may be this instance. */
  private reportLoad(now: number): void {
    const { self, channel } = this.parts;
    const message = this.ownLoad(PeerMessageKind.LoadReport, now);
    this.lastReportedLoads = message.loads;
    const relay = this.selectRelay(now);
    if (relay === undefined || relay.instance === self.instance) {
      this.addReport(message, now);
    } else {
      channel.send(relay, message);
    }
  }

  /** Returns the relay of this zone, which changes when the current one sends no digests. */
  private selectRelay(now: number): PeerRecord | undefined {
    const { self, view, relaySelector } = this.parts;
    if (
      this.selectedRelay !== undefined &&
      now - this.selectedRelay.silentSinceMilliseconds > RELAY_SILENCE_TIMEOUT_MILLISECONDS
    ) {
      relaySelector.suspect(this.selectedRelay.instance, now);
      this.parts.log.info('No load digest from the zone relay; selecting another relay.', {
        relay: this.selectedRelay.instance,
        silentMilliseconds: Math.round(now - this.selectedRelay.silentSinceMilliseconds),
      });
    }
    const relay = relaySelector.relayOf(self.zone, view.peers, now);
    if (relay?.instance !== this.selectedRelay?.instance) {
      this.selectedRelay =
        relay === undefined || relay.instance === self.instance
          ? undefined
          : { instance: relay.instance, silentSinceMilliseconds: now };
    }
    return relay;
  }

  /** Sends digests and the zone load while other instances report to this one. */
  private distributeLoads(now: number): void {
    const { self, view, channel, rateLimits, registry, accountUse } = this.parts;
    if (this.relay.members.length === 0) {
      return;
    }
    const members = new Set(this.relay.members);
    const observed = this.relay.takeMemberRates(now);
    const learned = registry.workload.takeLearnedReports(
      MAXIMUM_LEARNED_RATES,
      observed.length,
      now,
    );
    const digest = {
      ...this.relay.digest(self.instance, rateLimits.reports(), accountUse?.digest(now)),
      rates: [...observed, ...learned],
    };
    channel.sendToAll(
      view.peers.filter(({ instance }) => instance !== self.instance && members.has(instance)),
      digest,
    );
    if (members.has(self.instance)) {
      // The uses and rates were recorded when the reports arrived.
      this.applyDigest({ ...digest, uses: [], rates: [] }, now);
    }
    this.completedPeriods += 1;
    if (this.completedPeriods % PERIODS_PER_ZONE_LOAD === 0) {
      channel.sendToAll(this.otherRelays(now), {
        ...this.relay.zoneLoad(self.instance, rateLimits.reports(), accountUse?.zoneReport(now)),
        rates: this.relay.takeZoneRates(now),
      });
    }
  }

  /** The relays of the other zones, or the first candidates of zones whose relay is unknown. */
  private otherRelays(now: number): readonly PeerRecord[] {
    const { self, view, relaySelector } = this.parts;
    const zones = new Set(view.peers.map(({ zone }) => zone));
    zones.delete(self.zone);
    return [...zones].flatMap((zone) => {
      const relay = this.relay.lastRelayOf(zone);
      const peer = view.peers.find(({ instance }) => instance === relay);
      return peer === undefined
        ? relaySelector.candidatesOf(zone, view.peers, now).slice(0, RELAY_CANDIDATES)
        : [peer];
    });
  }
}
