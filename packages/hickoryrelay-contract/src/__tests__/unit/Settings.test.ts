import { readFile } from 'node:fs/promises';

import { describe, expect, it } from 'vitest';
import { failureOf } from 'hickoryrelay/RelayError';
import { settingsSchema } from 'hickoryrelay-contract/Settings';
import { YamlFile } from 'hickoryrelay-contract/YamlFile';

const EXAMPLE = 'examples/foucault/settings.yaml';

describe('seeds in the settings', () => {
  const file = new YamlFile(settingsSchema);

  it('are read from the example', async () => {
    const { peers } = file.read(EXAMPLE, await readFile(EXAMPLE, 'utf8'));
    expect(peers.seeds).toEqual([{ name: 'entry-2', url: 'ws://127.0.0.1:8202' }]);
  });

  // Guards against a mistyped seed that is noticed only when the list of instances is out.
  it.each([
    ['url: ws://127.0.0.1:8202', 'url: http://127.0.0.1:8202', 'peers.seeds.0.url'],
    ['name: entry-2', 'name: Entry 2', 'peers.seeds.0.name'],
  ])('are refused with file, line and field if %s becomes %s', async (right, wrong, field) => {
    const text = await readFile(EXAMPLE, 'utf8');
    const line = text.split('\n').findIndex((each) => each.includes(right)) + 1;
    expect(line).toBeGreaterThan(1);
    let failure: unknown;
    try {
      file.read(EXAMPLE, text.replace(right, wrong));
    } catch (error) {
      failure = failureOf(error);
    }
    expect(failure).toMatchObject({ problems: [{ file: EXAMPLE, line, field }] });
  });
});
