import { readFile } from 'node:fs/promises';

import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { assembleDocument } from 'hickoryrelay-contract/ConfigurationBucket';
import { declarationsSchema } from 'hickoryrelay-contract/Declarations';
import { YamlParser } from 'hickoryrelay-contract/YamlParser';

import { renderTable } from './Table.js';
import type { FileCheckFlags } from './FileCheckFlags.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';
import type { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import type { EndpointSupply } from 'hickoryrelay-platform/EndpointSupply';
import type { InstanceList } from 'hickoryrelay-platform/InstanceList';
import type { UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';

/** Parsed command-line flags. */
export interface CommandFlags extends FileCheckFlags {
  readonly dryRun: boolean;
  /** Whether `apply` replaces a revision in force that the store does not have. */
  readonly supersede: boolean;
  /** Whether `check` reads the settings of an instance instead of declarations. */
  readonly settings: boolean;
  /** Whether `check` compares with the stored configuration. */
  readonly stored: boolean;
  readonly zone: string | undefined;
  readonly window: string | undefined;
  /** Seconds that `apply` and the key commands wait for a rollout to complete; 0 does not wait. */
  readonly waitSeconds: number;
}

/** Dependencies of a `CommandContext`. */
export interface CommandContextOptions {
  readonly flags: CommandFlags;
  readonly author: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly write: (text: string) => void;
  /** Connects to the platform. Called at most once, on the first use of `CommandContext.platform`. */
  readonly platform: () => PlatformServices;
}

/** Clients of the platform services that commands use. */
export interface PlatformServices {
  readonly configurations: ConfigurationStore;
  readonly supply: EndpointSupply;
  readonly instances: InstanceList;
  readonly usage: UsageReportSink;
}

/** The stored configuration. Before the first apply its revision is 0 and it has no document. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly document: DeclarationsDocument | undefined;
}

/** Execution context of a command: flags, output, files and platform services. */
export class CommandContext {
  readonly flags: CommandFlags;

  readonly author: string;

  readonly clock: Clock;

  readonly random: RandomSource;

  private readonly parts: CommandContextOptions;

  private platformServices: PlatformServices | undefined;

  constructor(options: CommandContextOptions) {
    this.parts = options;
    this.flags = options.flags;
    this.author = options.author;
    this.clock = options.clock;
    this.random = options.random;
  }

  get platform(): PlatformServices {
    this.platformServices ??= this.parts.platform();
    return this.platformServices;
  }

  writeLine(text: string): void {
    this.parts.write(`${text}\n`);
  }

  /** Writes the given columns of the rows as a table, or all fields as JSON with `--json`. */
  list(value: readonly object[], columns: readonly string[]): void {
    if (this.flags.json) {
      this.writeLine(JSON.stringify(value, undefined, 2));
      return;
    }
    this.writeLine(renderTable(value as readonly Record<string, unknown>[], columns));
  }

  /** Reads a declarations file and validates it against the schema. */
  async readDeclarations(file: string): Promise<DeclarationsDocument> {
    return new YamlParser(declarationsSchema).parse(file, await CommandContext.readTextFile(file));
  }

  async readStoredConfiguration(): Promise<StoredConfiguration> {
    const configuration = await this.platform.configurations.read();
    return {
      revision: configuration?.head.revision ?? 0,
      document: configuration && assembleDocument(configuration.texts),
    };
  }

  /** Returns the stored configuration. Throws `not-found` before the first apply. */
  async requireStoredConfiguration(): Promise<{
    revision: number;
    document: DeclarationsDocument;
  }> {
    const { revision, document } = await this.readStoredConfiguration();
    if (document === undefined) {
      throw new RelayError({
        kind: FailureKind.NotFound,
        subject: 'configuration',
        name: 'current',
      });
    }
    return { revision, document };
  }

  /** Returns a required argument. Throws `invalid-request` if it is missing. */
  requireArgument(parameters: readonly string[], index: number, name: string): string {
    const value = parameters[index];
    if (value === undefined || value === '') {
      throw new RelayError({
        kind: FailureKind.InvalidRequest,
        field: name,
        reason: 'the argument is required',
      });
    }
    return value;
  }

  /** Reads a file as UTF-8. Throws `not-found` if it cannot be read. */
  static async readTextFile(file: string): Promise<string> {
    try {
      return await readFile(file, 'utf8');
    } catch (error) {
      throw new RelayError({ kind: FailureKind.NotFound, subject: 'file', name: file }, error);
    }
  }
}
