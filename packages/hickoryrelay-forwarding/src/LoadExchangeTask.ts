import { hashText } from 'hickoryrelay/RendezvousUtils';
import { Task } from 'hickoryrelay/Task';

import { LoadRelay, withoutLoads } from './LoadRelay.js';
import { PeerMessageKind } from './PeerMessage.js';

import type { ConfirmedView } from './ConfirmedView.js';
import type { EndpointRegistry } from './EndpointRegistry.js';
import type { PeerChannel } from './PeerChannel.js';
import type { PeerLoads } from './PeerLoads.js';
import type { EndpointLoad, LoadMessage, PeerMessage } from './PeerMessage.js';
import type { PeerRecord } from './PeerRecord.js';
import type { PromptCacheDirectory } from './PromptCacheDirectory.js';
import type { ZoneRelays } from './ZoneRelays.js';
import type { PartLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';

/** Shortest time between two messages to a peer; the load of an engine changes within about 100 ms. */
const PERIOD_MILLISECONDS = 100;

/** Messages that an instance sends in a second at most. */
const MOST_MESSAGES_PER_SECOND = 80;

/** With more instances than this, their load goes over the relays of their zones. */
const MOST_DIRECT_PEERS = 16;

/** Periods between two messages to the relays of other zones, whose bytes are paid for. */
const ZONE_PERIODS = 2;

/** A relay that has been silent for this time is passed over, in milliseconds. */
const RELAY_SILENCE_MILLISECONDS = 500;

/** Instances of another zone that are told while its relay is not known from a message. */
const RELAY_CANDIDATES = 2;

const MILLISECONDS_PER_SECOND = 1000;

/** What the task works with. */
export interface LoadExchangeParts {
  readonly self: PeerRecord;
  readonly channel: PeerChannel;
  readonly view: ConfirmedView;
  readonly registry: EndpointRegistry;
  readonly loads: PeerLoads;
  readonly directory: PromptCacheDirectory;
  readonly relays: ZoneRelays;
  readonly log: PartLogger;
}

/**
 * Tells the other instances what this one has under way at each endpoint and which parts of prompts
 * were read where, and hears theirs. Few instances tell each other; with more, each tells the relay
 * of its zone, and the relays tell each other the load of their zones.
 */
export class LoadExchangeTask extends Task {
  override readonly name = 'load exchange';

  private readonly parts: LoadExchangeParts;

  private readonly relay = new LoadRelay();

  private wasIdle = false;

  /** What this instance last told the relay, which is part of the digest. */
  private reported: readonly EndpointLoad[] = [];

  /** Relay that this instance reports to, and since when it has been silent. */
  private chosen: { readonly instance: string; silentSinceMilliseconds: number } | undefined;

  private period = 0;

  /** How this instance marks the uses that it tells. */
  private readonly teller: number;

  constructor(parts: LoadExchangeParts) {
    super();
    this.parts = parts;
    this.teller = hashText(parts.self.instance);
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    const { channel, loads } = this.parts;
    const unsubscribe = channel.subscribe((message) => {
      this.hear(message, clock.monotonicMilliseconds());
    });
    try {
      for (;;) {
        const now = clock.monotonicMilliseconds();
        const peers = this.otherPeers();
        loads.expire(now);
        this.relay.expire(now);
        if (peers.length <= MOST_DIRECT_PEERS) {
          this.tellAll(peers);
        } else {
          this.report(now);
        }
        this.relayLoads(now);
        yield;
        await clock.sleep(this.periodMilliseconds(peers.length), signal);
      }
    } finally {
      unsubscribe();
    }
  }

  private periodMilliseconds(peers: number): number {
    const direct =
      peers <= MOST_DIRECT_PEERS ? (peers / MOST_MESSAGES_PER_SECOND) * MILLISECONDS_PER_SECOND : 0;
    return Math.max(PERIOD_MILLISECONDS, direct);
  }

  private otherPeers(): readonly PeerRecord[] {
    const { view, self } = this.parts;
    return view.peers.filter(({ instance }) => instance !== self.instance);
  }

  private hear(message: PeerMessage, now: number): void {
    switch (message.kind) {
      case PeerMessageKind.Load:
        this.take(message, now);
        break;
      case PeerMessageKind.LoadDigest:
        if (message.sender === this.chosen?.instance) {
          this.chosen.silentSinceMilliseconds = now;
        }
        this.takeDigest(message, now);
        break;
      case PeerMessageKind.LoadReport:
        this.relay.collect(message, now);
        this.recordUses(message, now);
        break;
      case PeerMessageKind.ZoneLoad:
        this.hearZone(message, now);
        break;
      default:
    }
  }

  private hearZone(message: LoadMessage, now: number): void {
    const sender = this.parts.view.peers.find(({ instance }) => instance === message.sender);
    if (sender !== undefined) {
      this.relay.collectZone(sender.zone, message, now);
      this.recordUses(message, now);
    }
  }

  /** Digests of two relays say the same of most instances, so the latest replaces all. */
  private takeDigest({ loads, ...message }: LoadMessage, now: number): void {
    const others = withoutLoads(loads, this.reported);
    this.take({ ...message, sender: '', loads: others }, now);
  }

  private take(message: LoadMessage, now: number): void {
    this.parts.loads.receive(message, now);
    this.recordUses(message, now);
  }

  private recordUses({ uses }: LoadMessage, now: number): void {
    const { directory } = this.parts;
    uses
      .filter(({ teller }) => teller !== this.teller)
      .forEach((use) => directory.record(use, now));
  }

  /** What this instance has to say. */
  private ownLoad(kind: LoadMessage['kind']): LoadMessage {
    const { self, registry, directory } = this.parts;
    return {
      kind,
      sender: self.instance,
      loads: [...registry.ownLoads()],
      uses: directory.takePendingUses().map((use) => ({ ...use, teller: this.teller })),
    };
  }

  private tellAll(peers: readonly PeerRecord[]): void {
    const message = this.ownLoad(PeerMessageKind.Load);
    const isIdle = message.loads.length === 0 && message.uses.length === 0;
    if (!(isIdle && this.wasIdle)) {
      this.parts.channel.sendToAll(peers, message);
    }
    this.wasIdle = isIdle;
  }

  /** Tells the relay of the zone, which may be this instance. */
  private report(now: number): void {
    const { self, channel } = this.parts;
    const message = this.ownLoad(PeerMessageKind.LoadReport);
    this.reported = message.loads;
    const relay = this.chooseRelay(now);
    if (relay === undefined || relay.instance === self.instance) {
      this.relay.collect(message, now);
    } else {
      channel.send(relay, message);
    }
  }

  /** The relay of the own zone, another one after a silence. */
  private chooseRelay(now: number): PeerRecord | undefined {
    const { self, view, relays } = this.parts;
    if (
      this.chosen !== undefined &&
      now - this.chosen.silentSinceMilliseconds > RELAY_SILENCE_MILLISECONDS
    ) {
      relays.suspect(this.chosen.instance, now);
      this.parts.log.info('The relay of the zone is passed over; its load messages stay out.', {
        relay: this.chosen.instance,
        silentMilliseconds: Math.round(now - this.chosen.silentSinceMilliseconds),
      });
    }
    const relay = relays.relayOf(self.zone, view.peers, now);
    if (relay?.instance !== this.chosen?.instance) {
      this.chosen =
        relay === undefined || relay.instance === self.instance
          ? undefined
          : { instance: relay.instance, silentSinceMilliseconds: now };
    }
    return relay;
  }

  /** Passes on what was gathered, where this instance is a relay. */
  private relayLoads(now: number): void {
    const { self, view, channel } = this.parts;
    if (this.relay.members.length === 0) {
      return;
    }
    const members = new Set(this.relay.members);
    const digest = this.relay.digest(self.instance);
    channel.sendToAll(
      view.peers.filter(({ instance }) => instance !== self.instance && members.has(instance)),
      digest,
    );
    if (members.has(self.instance)) {
      // The uses were recorded when they arrived.
      this.takeDigest({ ...digest, uses: [] }, now);
    }
    this.period += 1;
    if (this.period % ZONE_PERIODS === 0) {
      channel.sendToAll(this.otherRelays(now), this.relay.zoneLoad(self.instance));
    }
  }

  /** The relays of the other zones, the likely ones while none was heard. */
  private otherRelays(now: number): readonly PeerRecord[] {
    const { self, view, relays } = this.parts;
    const zones = new Set(view.peers.map(({ zone }) => zone));
    zones.delete(self.zone);
    return [...zones].flatMap((zone) => {
      const heard = this.relay.relayHeardFrom(zone);
      const peer = view.peers.find(({ instance }) => instance === heard);
      return peer === undefined
        ? relays.candidatesOf(zone, view.peers, now).slice(0, RELAY_CANDIDATES)
        : [peer];
    });
  }
}
