import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, describe, expect, it } from 'vitest';
import { ManualClock } from 'hickoryrelay/ManualClock';
import { paceReads, PortionPermission } from 'hickoryrelay/PacedReads';
import { ResponseAllowance } from 'hickoryrelay/ResponseAllowance';

import type { AddressInfo, Socket, TcpSocketConnectOpts } from 'node:net';

const cleanUps: (() => unknown)[] = [];

afterEach(() => {
  cleanUps.splice(0).forEach((cleanUp) => cleanUp());
});

const READ_BYTES = 16_384;

async function openPair(
  options: Partial<TcpSocketConnectOpts> = {},
): Promise<{ readonly socket: Socket; readonly peer: Socket }> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection');
  const { port } = server.address() as AddressInfo;
  const socket = connect({ ...options, port, host: '127.0.0.1' });
  const [peer] = (await accepted) as [Socket];
  peer.on('error', () => {});
  cleanUps.push(
    () => server.close(),
    () => socket.destroy(),
    () => peer.destroy(),
  );
  return { socket, peer };
}

/** Reads as the HTTP client library does. */
function collect(socket: Socket): Buffer[] {
  const chunks: Buffer[] = [];
  socket.on('readable', () => {
    for (let chunk: unknown = socket.read(); chunk !== null; chunk = socket.read()) {
      chunks.push(chunk as Buffer);
    }
  });
  return chunks;
}

/** Reads as the HTTP client library does, which may pause while it processes a chunk. */
class PausingReader {
  readonly chunks: Buffer[] = [];

  isPaused = false;

  private readonly socket: Socket;

  constructor(socket: Socket) {
    this.socket = socket;
    socket.on('readable', () => this.readMore());
  }

  /** Pauses with each chunk. */
  readMore(): void {
    while (!this.isPaused) {
      const chunk = this.socket.read() as Buffer | null;
      if (chunk === null) {
        return;
      }
      this.chunks.push(chunk);
      this.isPaused = true;
    }
  }
}

/** Never gives permission, and counts how often it is asked. */
class NoPermission extends PortionPermission {
  asked = 0;

  override mayRead(): boolean {
    this.asked += 1;
    return false;
  }
}

const WAIT_MILLISECONDS = 50;
const TEXT = Buffer.from('the last bytes');

describe('A socket that is read in turns', () => {
  // Guards against bytes that are lost, repeated or out of order, and an end that is not reported.
  it('returns all bytes and then ends', async () => {
    const { socket, peer } = await openPair();
    paceReads(socket);
    const sent = Buffer.from(Array.from({ length: 500_000 }, (_value, index) => index % 251));
    const chunks = collect(socket);
    peer.end(sent);
    await once(socket, 'end');
    expect(Buffer.concat(chunks).equals(sent)).toBe(true);
  });

  // Guards against one connection that is read again and again before others are.
  it('returns one portion in each turn of the event loop', async () => {
    const { socket, peer } = await openPair();
    paceReads(socket);
    let turn = 0;
    let isOpen = true;
    const countTurn = () => {
      turn += 1;
      if (isOpen) {
        setImmediate(countTurn);
      }
    };
    countTurn();
    const turns: number[] = [];
    socket.on('readable', () => {
      while (socket.read() !== null) {
        turns.push(turn);
      }
    });
    peer.end(Buffer.alloc(2_000_000));
    await once(socket, 'end');
    isOpen = false;
    expect(turns.length).toBeGreaterThan(10);
    expect(new Set(turns).size).toBe(turns.length);
  });

  // Guards against the parsing of all that has arrived after the connection has failed.
  it('returns nothing once it is destroyed', async () => {
    const { socket, peer } = await openPair();
    paceReads(socket);
    const chunks: Buffer[] = [];
    socket.on('readable', () => {
      for (let chunk: unknown = socket.read(); chunk !== null; chunk = socket.read()) {
        chunks.push(chunk as Buffer);
        socket.destroy();
      }
    });
    peer.write(Buffer.alloc(500_000));
    await once(socket, 'close');
    expect(chunks).toHaveLength(1);
    expect(socket.read()).toBeNull();
  });

  // Guards against a socket whose buffer grows with each portion that is read from it.
  it('receives no more than one read beyond what it may buffer', async () => {
    const { socket, peer } = await openPair({
      onread: {
        buffer: Buffer.alloc(READ_BYTES),
        callback: (bytes, buffer) => socket.push(Buffer.from(buffer.subarray(0, bytes))),
      },
    });
    const allowance = new ResponseAllowance(new ManualClock(), 'peer');
    paceReads(socket, { allowance });
    allowance.begin(socket);
    allowance.recordHead({ readableLength: 0 });
    let peakBytes = 0;
    socket.on('readable', () => {
      for (let chunk: unknown = socket.read(); chunk !== null; chunk = socket.read()) {
        peakBytes = Math.max(peakBytes, socket.readableLength);
      }
    });
    peer.write(Buffer.alloc(500_000));
    await once(socket, 'error');
    expect(peakBytes).toBeGreaterThan(0);
    expect(peakBytes).toBeLessThanOrEqual(2 * READ_BYTES);
  });

  it('fails when its allowance is used up', async () => {
    const { socket, peer } = await openPair();
    const allowance = new ResponseAllowance(new ManualClock(), 'peer');
    paceReads(socket, { allowance });
    allowance.begin(socket);
    const chunks = collect(socket);
    peer.write(Buffer.alloc(500_000));
    const [error] = (await once(socket, 'error')) as [Error];
    expect(error.message).toContain('the head of the response has too many bytes');
    expect(Buffer.concat(chunks).length).toBeLessThanOrEqual(32_768);
  });

  // Guards against an end that is reported to a paused reader, also if it pauses again while it reads on.
  it('reports its end only once its reader reads on', async () => {
    const { socket, peer } = await openPair();
    paceReads(socket);
    const reader = new PausingReader(socket);
    let ends = 0;
    socket.on('end', () => {
      ends += 1;
    });
    peer.end(TEXT);
    await sleep(WAIT_MILLISECONDS);
    expect(Buffer.concat(reader.chunks)).toEqual(TEXT);
    expect(ends).toBe(0);
    socket.read();
    await sleep(WAIT_MILLISECONDS);
    expect(ends).toBe(0);
    reader.isPaused = false;
    reader.readMore();
    await sleep(WAIT_MILLISECONDS);
    expect(ends).toBe(1);
    expect(socket.destroyed).toBe(true);
  });

  it('ends without a reader', async () => {
    const { socket, peer } = await openPair();
    paceReads(socket);
    peer.end();
    await once(socket, 'close');
  });

  it('is closed with an error while its reader is paused', async () => {
    const { socket, peer } = await openPair();
    paceReads(socket);
    const reader = new PausingReader(socket);
    peer.write(TEXT);
    await sleep(WAIT_MILLISECONDS);
    expect(reader.isPaused).toBe(true);
    setImmediate(() => socket.destroy());
    const [error] = (await once(socket, 'error')) as [Error];
    expect(error.message).toBe('the connection was closed');
  });

  // Guards against a reset that a paused reader takes for an end, or that is not known as an error of the network.
  it('hides the code of a reset from a paused reader', async () => {
    const { socket, peer } = await openPair();
    paceReads(socket);
    const reader = new PausingReader(socket);
    peer.write(TEXT);
    await sleep(WAIT_MILLISECONDS);
    expect(reader.isPaused).toBe(true);
    peer.resetAndDestroy();
    const [error] = (await once(socket, 'error')) as [Error];
    expect(error).toMatchObject({ message: 'the connection was reset', syscall: 'read' });
    expect(error).not.toHaveProperty('code');
  });

  // Guards against the loss of a response that waits when its connection is reset, and of the reset itself.
  it('is read whole when it is reset, and fails with the reset', async () => {
    const { socket, peer } = await openPair();
    paceReads(socket, { permission: new NoPermission() });
    const chunks: Buffer[] = [];
    socket.on('readable', () => {
      const chunk = socket.read() as Buffer | null;
      if (chunk !== null) {
        chunks.push(chunk);
        socket.destroy(new Error('the response is complete'));
      }
    });
    peer.write(TEXT);
    await sleep(WAIT_MILLISECONDS);
    expect(chunks).toEqual([]);
    peer.resetAndDestroy();
    const [error] = (await once(socket, 'error')) as [Error];
    expect(error).toMatchObject({ syscall: 'read', cause: { code: 'ECONNRESET' } });
    expect(error).not.toHaveProperty('code');
    expect(Buffer.concat(chunks)).toEqual(TEXT);
  });

  it('asks for no permission once it is closed', async () => {
    const { socket, peer } = await openPair();
    const permission = new NoPermission();
    paceReads(socket, { permission });
    collect(socket);
    peer.write(TEXT);
    await sleep(WAIT_MILLISECONDS);
    const { asked } = permission;
    expect(asked).toBeGreaterThan(0);
    socket.destroy();
    await once(socket, 'close');
    expect(permission.asked).toBe(asked);
  });
});
