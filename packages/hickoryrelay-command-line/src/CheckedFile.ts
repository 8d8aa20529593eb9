import { runChecks } from 'hickoryrelay-configuration-check/ConfigurationCheck';
import { DECLARATIONS_CHECKS } from 'hickoryrelay-configuration-check/DeclarationsChecks';
import { SETTINGS_CHECKS } from 'hickoryrelay-configuration-check/SettingsChecks';
import {
  diffDeclarations,
  diffEntries,
  mergeStoredKeys,
} from 'hickoryrelay-contract/DeclarationsChange';
import { settingsSchema } from 'hickoryrelay-contract/Settings';
import { YamlParser } from 'hickoryrelay-contract/YamlParser';

import { CommandContext } from './CommandContext.js';

import type { Finding } from 'hickoryrelay-configuration-check/Finding';
import type { DeclarationsDocument } from 'hickoryrelay-contract/Declarations';
import type { EntryChange, NamedEntry } from 'hickoryrelay-contract/DeclarationsChange';
import type { Settings } from 'hickoryrelay-contract/Settings';

/** A kind of file that can be checked, by the type of its decoded content. */
export abstract class CheckedFile<Content> {
  /** Reads and decodes a file. Throws `invalid-file` with the problems in it. */
  abstract read(file: string): Promise<Content>;

  /** Returns the findings, given the version in force if there is one to compare with. */
  abstract find(content: Content, inForce: Content | undefined): Finding[];

  /** Lists the entries that differ from the version in force. */
  abstract compare(content: Content, inForce: Content): EntryChange[];
}

/** A file of declarations. */
export class DeclarationsFile extends CheckedFile<DeclarationsDocument> {
  private readonly context: CommandContext;

  constructor(context: CommandContext) {
    super();
    this.context = context;
  }

  override read(file: string): Promise<DeclarationsDocument> {
    return this.context.readDeclarations(file);
  }

  override find(
    content: DeclarationsDocument,
    inForce: DeclarationsDocument | undefined,
  ): Finding[] {
    // Without the version in force, the stored keys of accounts that leave theirs out are not known.
    const merged = inForce === undefined ? content : mergeStoredKeys(content, inForce);
    return runChecks(DECLARATIONS_CHECKS, merged);
  }

  override compare(content: DeclarationsDocument, inForce: DeclarationsDocument): EntryChange[] {
    return diffDeclarations(inForce, mergeStoredKeys(content, inForce));
  }
}

/** A file with the settings of an instance. */
export class SettingsFile extends CheckedFile<Settings> {
  override async read(file: string): Promise<Settings> {
    return new YamlParser(settingsSchema).parse(file, await CommandContext.readTextFile(file));
  }

  override find(content: Settings): Finding[] {
    return runChecks(SETTINGS_CHECKS, content);
  }

  override compare(content: Settings, inForce: Settings): EntryChange[] {
    return diffEntries(SettingsFile.entriesOf(inForce), SettingsFile.entriesOf(content));
  }

  private static entriesOf(settings: Settings): NamedEntry[] {
    return Object.entries(settings).map(([name, body]) => ({ section: 'settings', name, body }));
  }
}
