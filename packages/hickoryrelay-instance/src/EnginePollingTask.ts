import { describeFailure } from 'hickoryrelay/Failure';
import { failureOf } from 'hickoryrelay/RelayError';
import { Task } from 'hickoryrelay/Task';
import { EngineStatusLink } from 'hickoryrelay-link/EngineStatusLink';

import type { ComponentLogger } from 'hickoryrelay/Logger';
import type { TaskContext } from 'hickoryrelay/Task';
import type { Engine } from 'hickoryrelay-endpoint/Engine';

/** Polls one engine while it accepts calls. */
export abstract class EnginePollingTask extends Task {
  protected readonly engine: Engine;

  private readonly log: ComponentLogger;

  constructor(engine: Engine, log: ComponentLogger) {
    super();
    this.engine = engine;
    this.log = log;
  }

  /** Returns the time until the next read, in milliseconds. */
  protected abstract read(link: EngineStatusLink, signal: AbortSignal): Promise<number>;

  /** The time until the next read after a failed one, in milliseconds. */
  protected abstract failureDelay(): number;

  protected override async *steps({
    clock,
    signal,
  }: TaskContext): AsyncGenerator<void, void, void> {
    const link = new EngineStatusLink(this.engine.location, clock);
    while (this.engine.acceptsCalls) {
      const delay = await this.attempt(link, signal);
      yield;
      await clock.sleep(delay, signal);
    }
  }

  private async attempt(link: EngineStatusLink, signal: AbortSignal): Promise<number> {
    try {
      return await this.read(link, signal);
    } catch (error) {
      this.log.debug('Failed to read the status of an engine.', {
        task: this.name,
        endpoint: this.engine.identifier,
        reason: describeFailure(failureOf(error)),
      });
      return this.failureDelay();
    }
  }
}
