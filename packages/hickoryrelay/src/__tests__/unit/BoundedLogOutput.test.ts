import { execFile } from 'node:child_process';
import { mkdtemp, open, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { BoundedLogOutput } from 'hickoryrelay/BoundedLogOutput';

let directory = '';

beforeEach(async () => {
  directory = await mkdtemp(join(tmpdir(), 'bounded-log-'));
});

afterEach(async () => {
  await rm(directory, { recursive: true });
});

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
  while (!(await condition())) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

describe('BoundedLogOutput', () => {
  // Guards against lines that are lost or reordered while an earlier write is in progress.
  it('writes lines in order', async () => {
    const file = join(directory, 'log');
    const handle = await open(file, 'w');
    const output = new BoundedLogOutput(handle.fd);
    const lines = Array.from({ length: 50 }, (_unused, index) => `line ${index}\n`);
    lines.forEach((line) => output.write(line));
    await waitFor(async () => (await readFile(file, 'utf8')) === lines.join(''));
    await handle.close();
  });

  // Guards against a process that blocks because nobody reads its log.
  it('drops lines without waiting when nobody reads, and reports their number', async () => {
    const pipe = join(directory, 'pipe');
    await promisify(execFile)('mkfifo', [pipe]);
    const writer = await open(pipe, 'r+');
    const output = new BoundedLogOutput(writer.fd);
    for (let index = 0; index < 300; index += 1) {
      output.write(`${'x'.repeat(4000)}\n`);
    }
    expect(output.droppedLineCount).toBeGreaterThan(0);
    const reader = await open(pipe, 'r+');
    let text = '';
    const buffer = Buffer.alloc(65_536);
    await waitFor(async () => {
      const { bytesRead } = await reader.read(buffer, 0, buffer.length, null);
      text += buffer.toString('latin1', 0, bytesRead);
      return text.includes('Lines were dropped');
    });
    await writer.close();
    await reader.close();
  });
});
