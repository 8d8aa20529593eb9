import { readFile } from 'node:fs/promises';

import { describe, expect, it } from 'vitest';
import { failureOf } from 'hickoryrelay/RelayError';
import { settingsSchema } from 'hickoryrelay-contract/Settings';
import { YamlParser } from 'hickoryrelay-contract/YamlParser';

const EXAMPLE = 'examples/foucault/settings.yaml';

describe('seeds in the settings', () => {
  const parser = new YamlParser(settingsSchema);

  it('are read from the example', async () => {
    const { peers } = parser.parse(EXAMPLE, await readFile(EXAMPLE, 'utf8'));
    expect(peers.seeds).toEqual([{ name: 'entry-2', url: 'ws://127.0.0.1:8202' }]);
  });

  // Guards against an invalid seed that stays unnoticed until the instance list is unavailable.
  it.each([
    ['url: ws://127.0.0.1:8202', 'url: http://127.0.0.1:8202', 'peers.seeds.0.url'],
    ['name: entry-2', 'name: Entry 2', 'peers.seeds.0.name'],
  ])(
    'are rejected with file, line and field if %s becomes %s',
    async (original, replacement, field) => {
      const text = await readFile(EXAMPLE, 'utf8');
      const line = text.split('\n').findIndex((content) => content.includes(original)) + 1;
      expect(line).toBeGreaterThan(1);
      let failure: unknown;
      try {
        parser.parse(EXAMPLE, text.replace(original, replacement));
      } catch (error) {
        failure = failureOf(error);
      }
      expect(failure).toMatchObject({ problems: [{ file: EXAMPLE, line, field }] });
    },
  );
});
