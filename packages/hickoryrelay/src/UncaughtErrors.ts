import type { ComponentLogger } from './Logger.js';

/** Exit code of a process that stopped because of an error that nothing caught. */
export const EXIT_UNCAUGHT_ERROR = 1;

/** Errors of one process that are logged with their stack. All are counted. */
const MAXIMUM_LOGGED_ERRORS = 20;

/** How a process stops when the owner of an error is not known. */
export interface UncaughtErrorOptions {
  readonly log: ComponentLogger;
  /** Ends the process after an orderly stop, within this time. */
  readonly stopMilliseconds: number;
  /** Stops in order: requests that have been passed on are answered. */
  readonly stop: () => Promise<void>;
  readonly exit: (code: number) => void;
}

/**
 * Errors that nothing has caught, whose owner is not known. The first one starts an orderly stop, so that open
 * requests are answered; the process ends when that is done, fails or takes too long.
 */
export class UncaughtErrors {
  private readonly options: UncaughtErrorOptions;

  private total = 0;

  constructor(options: UncaughtErrorOptions) {
    this.options = options;
  }

  /** Errors so far. */
  get count(): number {
    return this.total;
  }

  /** Receives the errors and rejections of this process from now on. */
  observe(): void {
    process.on('uncaughtException', (error: unknown) => this.record(error));
  }

  private record(error: unknown): void {
    this.total += 1;
    if (this.total <= MAXIMUM_LOGGED_ERRORS) {
      this.report(error);
    }
    if (this.total === 1) {
      void this.stop();
    }
  }

  private report(error: unknown): void {
    const text = error instanceof Error ? (error.stack ?? error.message) : String(error);
    // Log lines may be lost when the process ends.
    process.stderr.write(`${text}\n`);
    this.options.log.error('An error was not caught; the process stops.', {
      reason: text,
      count: this.total,
    });
  }

  private async stop(): Promise<void> {
    const { stop, stopMilliseconds, exit } = this.options;
    setTimeout(() => exit(EXIT_UNCAUGHT_ERROR), stopMilliseconds);
    try {
      await stop();
    } catch (error) {
      this.report(error);
    }
    exit(EXIT_UNCAUGHT_ERROR);
  }
}
