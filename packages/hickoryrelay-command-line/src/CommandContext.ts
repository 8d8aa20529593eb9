import { readFile } from 'node:fs/promises';

import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { assembleDocument } from 'hickoryrelay-contract/ConfigurationBucket';
import { declarationsSchema } from 'hickoryrelay-contract/Declarations';
import { YamlParser } from 'hickoryrelay-contract/YamlParser';

import { renderTable } from './Table.js';
import type { Clock } from 'hickoryrelay/Clock';
import type { RandomSource } from 'hickoryrelay/RandomSource';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';
import type { ConfigurationStore } from 'hickoryrelay-platform/ConfigurationStore';
import type { EndpointSupply } from 'hickoryrelay-platform/EndpointSupply';
import type { InstanceList } from 'hickoryrelay-platform/InstanceList';
import type { UsageReportSink } from 'hickoryrelay-platform/UsageReportSink';

/** The flags that commands look at. */
export interface CommandFlags {
  readonly json: boolean;
  readonly dryRun: boolean;
  readonly settings: boolean;
  readonly zone: string | undefined;
  readonly window: string | undefined;
  /** How long `apply` and the key commands wait for all instances, in seconds; 0 does not wait. */
  readonly waitSeconds: number;
}

/** What a command needs of the outside. */
export interface CommandParts {
  readonly flags: CommandFlags;
  readonly author: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly write: (text: string) => void;
  /** Opens the platform's services; called by commands that need them. */
  readonly platform: () => PlatformAccess;
}

/** The services of the platform that commands use. */
export interface PlatformAccess {
  readonly configurations: ConfigurationStore;
  readonly supply: EndpointSupply;
  readonly instances: InstanceList;
  readonly usage: UsageReportSink;
}

/** The stored configuration: its revision, 0 before the first apply, and its document. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly document: DeclarationsDocument | undefined;
}

/** The surroundings of a command: flags, output, files and platform. */
export class CommandContext {
  readonly flags: CommandFlags;

  readonly author: string;

  readonly clock: Clock;

  readonly random: RandomSource;

  private readonly parts: CommandParts;

  private opened: PlatformAccess | undefined;

  constructor(parts: CommandParts) {
    this.parts = parts;
    this.flags = parts.flags;
    this.author = parts.author;
    this.clock = parts.clock;
    this.random = parts.random;
  }

  get platform(): PlatformAccess {
    this.opened ??= this.parts.platform();
    return this.opened;
  }

  /** Writes one line. */
  line(text: string): void {
    this.parts.write(`${text}\n`);
  }

  /** Writes rows as a table, or the value as JSON with `--json`. */
  list(value: readonly object[], columns: readonly string[]): void {
    if (this.flags.json) {
      this.line(JSON.stringify(value, undefined, 2));
      return;
    }
    this.line(renderTable(value as readonly Record<string, unknown>[], columns));
  }

  /** Reads and checks a declarations file. */
  async readDeclarations(file: string): Promise<DeclarationsDocument> {
    return new YamlParser(declarationsSchema).parse(file, await CommandContext.readText(file));
  }

  async readStored(): Promise<StoredConfiguration> {
    const configuration = await this.platform.configurations.read();
    return {
      revision: configuration?.head.revision ?? 0,
      document: configuration && assembleDocument(configuration.texts),
    };
  }

  /** The stored document. Throws `not-found` before the first apply. */
  async readApplied(): Promise<{ revision: number; document: DeclarationsDocument }> {
    const { revision, document } = await this.readStored();
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
  require(parameters: readonly string[], index: number, name: string): string {
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

  /** Reads a file of the operator. Throws `not-found`. */
  static async readText(file: string): Promise<string> {
    try {
      return await readFile(file, 'utf8');
    } catch (error) {
      throw new RelayError({ kind: FailureKind.NotFound, subject: 'file', name: file }, error);
    }
  }
}
