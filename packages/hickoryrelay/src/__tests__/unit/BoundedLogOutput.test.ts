import { execFileSync } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { BoundedLogOutput } from 'hickoryrelay/BoundedLogOutput';

let directory = '';

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'bounded-log-'));
});

afterEach(() => {
  rmSync(directory, { recursive: true });
});

async function waitFor(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('the bounded log output', () => {
  it('writes lines in order', async () => {
    const file = join(directory, 'log');
    const descriptor = openSync(file, 'w');
    const output = new BoundedLogOutput(descriptor);
    const lines = Array.from({ length: 50 }, (_unused, index) => `line ${index}\n`);
    lines.forEach((line) => output.write(line));
    await waitFor(() => readFileSync(file, 'utf8').split('\n').length === 51);
    expect(readFileSync(file, 'utf8')).toBe(lines.join(''));
    closeSync(descriptor);
  });

  // Guards against a process that stops because nobody reads its log.
  it('drops lines without waiting when nobody reads, and says how many', async () => {
    const pipe = join(directory, 'pipe');
    execFileSync('mkfifo', [pipe]);
    const descriptor = openSync(pipe, 'r+');
    const output = new BoundedLogOutput(descriptor);
    const line = `${'x'.repeat(4000)}\n`;
    for (let index = 0; index < 300; index += 1) {
      output.write(line);
    }
    expect(output.dropped).toBeGreaterThan(0);
    // Empties the pipe, so that the write under way can end.
    const reader = openSync(pipe, 'r+');
    const { read } = await import('node:fs');
    let text = '';
    const buffer = Buffer.alloc(65_536);
    await waitFor(() => {
      read(reader, buffer, 0, buffer.length, null, (_error, bytes) => {
        text += buffer.toString('latin1', 0, bytes);
      });
      return text.includes('Lines were dropped');
    });
    output.write('last\n');
    await waitFor(() => text.includes('last'));
    closeSync(descriptor);
    closeSync(reader);
  });
});
