import { Task } from 'hickoryrelay/Task';

import type { DueProbe, EndpointReach } from './EndpointReach.js';
import type { TaskContext } from 'hickoryrelay/Task';

/** Time after which a failure to connect is followed by probes, at the latest. */
const CHECK_PERIOD_MILLISECONDS = 100;

/** What came of a connection that was tried. */
export const ProbeOutcome = { Opened: 'opened', Failed: 'failed' } as const;

export type ProbeOutcome = (typeof ProbeOutcome)[keyof typeof ProbeOutcome];

/** Opens connections to endpoints. The outcomes are reported to the `EndpointReach` by the link. */
export abstract class EndpointProber {
  /** Tries a connection. False if it cannot be opened or the signal aborts first. Never rejects. */
  abstract probe(probe: DueProbe, signal: AbortSignal): Promise<boolean>;
}

/** Tries connections to the endpoints of services that may be unreachable. */
export class ReachProbeTask extends Task {
  override readonly name = 'reach probes';

  private readonly reach: EndpointReach;

  private readonly prober: EndpointProber;

  private readonly outcomes = { [ProbeOutcome.Opened]: 0, [ProbeOutcome.Failed]: 0 };

  private readonly running = new Set<Promise<void>>();

  constructor(reach: EndpointReach, prober: EndpointProber) {
    super();
    this.reach = reach;
    this.prober = prober;
  }

  /** Connections that were tried so far, by outcome. */
  get counts(): Readonly<Record<ProbeOutcome, number>> {
    return this.outcomes;
  }

  protected override async *steps({ clock, signal }: TaskContext): AsyncGenerator<void, void> {
    try {
      for (;;) {
        for (const due of this.reach.dueProbes()) {
          this.start(due, signal);
        }
        yield;
        await clock.sleep(CHECK_PERIOD_MILLISECONDS, signal);
      }
    } finally {
      await Promise.all(this.running);
    }
  }

  /** A connection that hangs does not delay the probes of other services. */
  private start(due: DueProbe, signal: AbortSignal): void {
    const probe = this.prober.probe(due, signal).then((hasOpened) => {
      if (!signal.aborted) {
        this.outcomes[hasOpened ? ProbeOutcome.Opened : ProbeOutcome.Failed] += 1;
      }
      this.running.delete(probe);
    });
    this.running.add(probe);
  }
}
