import { connect, createServer } from 'node:net';

import type { AddressInfo, Server, Socket } from 'node:net';

/** How a relay handles its connections. */
export const RelayMode = {
  Pass: 'pass',
  /** Open connections stay open but drop all data; new ones work. */
  SilenceOpen: 'silence-open',
  /** Open connections are closed and new ones are refused. */
  Cut: 'cut',
  /** Open and new connections stay open but drop all data. */
  Partition: 'partition',
} as const;

export type RelayMode = (typeof RelayMode)[keyof typeof RelayMode];

interface SocketPair {
  readonly client: Socket;
  readonly target: Socket;
  isSilent: boolean;
}

/** TCP relay on loopback with which tests cut or silence the path between two processes. */
export class TcpRelay {
  private readonly targetUrl: URL;

  private readonly server: Server;

  private readonly pairs = new Set<SocketPair>();

  private mode: RelayMode = RelayMode.Pass;

  constructor(targetUrl: string) {
    this.targetUrl = new URL(targetUrl);
    this.server = createServer((socket) => this.accept(socket));
  }

  /** URL of the target with the address of the relay. Available once the relay listens. */
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
        pair.client.destroy();
        pair.target.destroy();
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

  private accept(client: Socket): void {
    if (this.mode === RelayMode.Cut) {
      client.destroy();
      return;
    }
    const target = connect(Number(this.targetUrl.port), this.targetUrl.hostname);
    const pair: SocketPair = { client, target, isSilent: this.mode === RelayMode.Partition };
    this.pairs.add(pair);
    this.forward(pair, client, target);
    this.forward(pair, target, client);
  }

  private forward(pair: SocketPair, from: Socket, to: Socket): void {
    from.on('data', (chunk) => {
      if (!pair.isSilent && !to.write(chunk)) {
        from.pause();
        to.once('drain', () => from.resume());
      }
    });
    from.on('error', () => {});
    from.on('close', () => {
      this.pairs.delete(pair);
      // On a silent path, one end does not learn that the other has closed the connection.
      if (!pair.isSilent) {
        to.destroy();
      }
    });
  }
}
