import { connect, createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** What a relay does with the traffic of one path. */
export const RelayMode = {
  Pass: 'pass',
  /** Open connections stay open and carry nothing; new ones pass. */
  SilenceOpen: 'silence-open',
  /** Open connections end, and new ones are refused. */
  Cut: 'cut',
  /** Open and new connections stay open and carry nothing. */
  Partition: 'partition',
} as const;

export type RelayMode = (typeof RelayMode)[keyof typeof RelayMode];

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  isSilent: boolean;
}

/** A TCP relay on loopback by which tests cut or silence the path between two processes. */
export class TcpRelay {
  private readonly targetUrl: URL;

  private readonly server: Server;

  private readonly pairs = new Set<Pair>();

  private mode: RelayMode = RelayMode.Pass;

  constructor(targetUrl: string) {
    this.targetUrl = new URL(targetUrl);
    this.server = createServer((socket) => this.accept(socket));
  }

  /** The target's URL with the relay's address, once listening. */
  get url(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${this.targetUrl.protocol}//${address}:${port}`;
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** Changes what happens to open and new connections. */
  setMode(mode: RelayMode): void {
    this.mode = mode;
    for (const pair of this.pairs) {
      if (mode === RelayMode.Cut) {
        pair.near.destroy();
        pair.far.destroy();
      } else if (mode !== RelayMode.Pass) {
        pair.isSilent = true;
      }
    }
  }

  async close(): Promise<void> {
    this.setMode(RelayMode.Cut);
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private accept(near: Socket): void {
    if (this.mode === RelayMode.Cut) {
      near.destroy();
      return;
    }
    const far = connect(Number(this.targetUrl.port), this.targetUrl.hostname);
    const pair: Pair = { near, far, isSilent: this.mode === RelayMode.Partition };
    this.pairs.add(pair);
    this.forward(pair, near, far);
    this.forward(pair, far, near);
  }

  private forward(pair: Pair, from: Socket, to: Socket): void {
    from.on('data', (chunk) => {
      if (!pair.isSilent && !to.write(chunk)) {
        from.pause();
        to.once('drain', () => from.resume());
      }
    });
    from.on('error', () => {});
    from.on('close', () => {
      this.pairs.delete(pair);
      // A silent path does not tell one end that the other has gone.
      if (!pair.isSilent) {
        to.destroy();
      }
    });
  }
}
