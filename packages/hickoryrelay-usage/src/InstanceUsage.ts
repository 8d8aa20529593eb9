import { AcknowledgementOutbox } from './AcknowledgementOutbox.js';
import { CountedSequences } from './CountedSequences.js';
import { DEFAULT_REPLICATION, UsageMeter } from './UsageMeter.js';
import { UsageReplica } from './UsageReplica.js';
import { UsageReporter } from './UsageReporter.js';
import { StatementSource, UsageSealer } from './UsageSealer.js';

import type { Authority } from './Authority.js';
import type { EngineUsageSource } from './EngineUsageSource.js';
import type { InstanceLiveness } from './InstanceLiveness.js';
import type { UsageStatement } from './UsageMerge.js';
import type { ReplicationSettings } from './UsageMeter.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type {
  IncarnationMark,
  PeerMessage,
  ReceivedPeerMessage,
} from 'hickoryrelay-link/PeerMessages';
import type { PeerNetwork } from 'hickoryrelay-link/PeerNetwork';
import type { KeyValueStore } from 'hickoryrelay-platform/KeyValueStore';
import type { UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';

type RecordsMessage = Extract<PeerMessage, { type: 'usage-open' | 'usage-close' }>;

/** Dependencies of the usage accounting of an instance. */
export interface InstanceUsageParts {
  readonly network: PeerNetwork;
  readonly store: KeyValueStore;
  readonly sink: UsageReportSink;
  readonly authority: Authority;
  readonly liveness: InstanceLiveness;
  readonly engines: EngineUsageSource;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: ComponentLogger;
  readonly replication?: ReplicationSettings;
}

/** Usage accounting of one instance: its own records, those of others, and the zone's seals. */
export class InstanceUsage extends StatementSource {
  readonly meter: UsageMeter;

  readonly replica: UsageReplica;

  readonly sealer: UsageSealer;

  readonly reporter: UsageReporter;

  readonly batchIntervalMilliseconds: number;

  private readonly acknowledgements: AcknowledgementOutbox;

  readonly network: PeerNetwork;

  readonly log: ComponentLogger;

  constructor(parts: InstanceUsageParts) {
    super();
    const { clock, liveness, engines, log, replication = DEFAULT_REPLICATION } = parts;
    this.network = parts.network;
    this.log = log;
    this.batchIntervalMilliseconds = replication.batchIntervalMilliseconds;
    this.acknowledgements = new AcknowledgementOutbox(parts.network);
    this.meter = new UsageMeter(parts, replication);
    this.replica = new UsageReplica(clock, liveness, engines, log);
    this.sealer = new UsageSealer(parts, this);
    this.reporter = new UsageReporter(parts);
  }

  override state(
    zone: string,
    window: number,
    marks: readonly IncarnationMark[],
  ): Pick<UsageStatement, 'own' | 'adopted'> {
    const { incarnation, zone: ownZone } = this.network.identity;
    for (const [each, mark] of marks) {
      const counted = CountedSequences.from(mark);
      if (each === incarnation) {
        this.meter.drop(counted);
      } else {
        this.replica.drop(each, counted);
      }
    }
    return {
      own: zone === ownZone ? this.meter.journal.statement(window) : undefined,
      adopted: this.replica.statement(zone, window),
    };
  }

  /** Sends batches to the replica peers, and acknowledgements to peers that sent records. */
  replicate(): void {
    this.meter.replicate();
    this.acknowledgements.sendAll();
  }

  /** Handles one message from a peer. */
  handleMessage({ from, message }: ReceivedPeerMessage): void {
    switch (message.type) {
      case 'usage-open':
      case 'usage-close':
        if (this.replica.receive(from, message)) {
          this.acknowledgements.add(from, message.number);
        }
        // Callers wait until closed records are acknowledged; other acknowledgements are batched.
        if (InstanceUsage.hasClosedRecord(message)) {
          this.acknowledgements.send(from);
        }
        break;
      case 'usage-progress':
        this.replica.receive(from, message);
        break;
      case 'usage-acknowledged':
        if (message.incarnation === this.network.identity.incarnation) {
          this.meter.acknowledge(from, message.numbers);
        }
        break;
      case 'usage-collect': {
        const { zone, window, round, marks } = message;
        const { own, adopted } = this.state(zone, window, marks);
        const statement = { type: 'usage-statement' as const, round, adopted };
        this.network.send(from.name, own === undefined ? statement : { ...statement, own });
        break;
      }
      case 'usage-statement':
        this.sealer.receiveStatement(from, message);
        break;
      default:
    }
  }

  private static hasClosedRecord(message: RecordsMessage): boolean {
    return (
      message.type === 'usage-close' ||
      message.records.some(([, , , , , , , , closedWindow]) => closedWindow > 0)
    );
  }
}
