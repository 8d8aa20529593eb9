import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { PeerConnection, PeerTransport } from 'hickoryrelay-link/PeerConnection';

import { FaultKind, FaultTally } from './FaultTally.js';

import type { CleanUp } from 'hickoryrelay/LifecycleManager';

/** State of the network path between two addresses. */
export const PathState = {
  Open: 'open',
  /** Connections are closed and new ones are refused. */
  Cut: 'cut',
  /** Connections stay open but drop every message; new connection attempts hang. */
  Silent: 'silent',
} as const;

export type PathState = (typeof PathState)[keyof typeof PathState];

/** The part of the network that connections and transports use. */
interface NetworkAccess {
  readonly tally: FaultTally;
  countSent(url: string, bytes: number): void;
  deliver(arrival: () => void): void;
  removeConnection(connection: MemoryConnection): void;
  listen(url: string, accept: (connection: PeerConnection) => void): CleanUp;
  connect(localUrl: string, remoteUrl: string): PeerConnection | PathState;
}

class MemoryConnection extends PeerConnection {
  readonly localUrl: string;

  readonly remoteUrl: string;

  other: MemoryConnection | undefined;

  isSilent = false;

  private isPaused = false;

  private readonly pendingMessages: (Uint8Array | undefined)[] = [];

  private readonly network: NetworkAccess;

  constructor(network: NetworkAccess, localUrl: string, remoteUrl: string) {
    super();
    this.network = network;
    this.localUrl = localUrl;
    this.remoteUrl = remoteUrl;
  }

  override get queuedBytes(): number {
    return 0;
  }

  override send(bytes: Uint8Array): void {
    this.network.countSent(this.localUrl, bytes.length);
    if (this.isSilent) {
      this.network.tally.count(FaultKind.LostMessage);
    } else {
      this.network.deliver(() => this.other?.receive(bytes));
    }
  }

  override terminate(): void {
    this.received.close();
    this.network.removeConnection(this);
    if (!this.isSilent) {
      this.network.deliver(() => this.other?.receive(undefined));
    }
  }

  /** Queues incoming messages while the process at this end is paused. */
  setPaused(isPaused: boolean): void {
    this.isPaused = isPaused;
    if (!isPaused) {
      this.pendingMessages.splice(0).forEach((each) => this.receive(each));
    }
  }

  /** Receives a message, or the close of the connection if `bytes` is undefined. */
  private receive(bytes: Uint8Array | undefined): void {
    if (this.isPaused) {
      this.pendingMessages.push(bytes);
    } else if (bytes === undefined) {
      this.received.close();
      this.network.removeConnection(this);
    } else {
      this.received.push(bytes);
    }
  }
}

class MemoryPeerTransport extends PeerTransport {
  override readonly url: string;

  private readonly network: NetworkAccess;

  constructor(network: NetworkAccess, url: string) {
    super();
    this.network = network;
    this.url = url;
  }

  override async listen(accept: (connection: PeerConnection) => void): Promise<CleanUp> {
    return this.network.listen(this.url, accept);
  }

  override async connect(url: string, signal: AbortSignal): Promise<PeerConnection> {
    const connection = this.network.connect(this.url, url);
    if (typeof connection !== 'string') {
      return connection;
    }
    if (connection === PathState.Silent && !signal.aborted) {
      await new Promise((resolve) => {
        signal.addEventListener('abort', resolve, { once: true });
      });
    }
    const reason = `path ${connection}`;
    const endpoint = url;
    throw new RelayError({ kind: FailureKind.EndpointFailed, endpoint, reason, mayHaveRun: false });
  }
}

/** In-memory network between entry instances of one process, with fault injection. */
export class MemoryNetwork implements NetworkAccess {
  /** Counts the injected faults that took effect. */
  tally = new FaultTally();

  /** Messages and bytes sent by each address. */
  readonly sent = new Map<string, { messages: number; bytes: number }>();

  /** Delivers a message to the remote end. Replaced by tests to add latency. */
  deliver: (arrival: () => void) => void = (arrival) => arrival();

  private readonly listeners = new Map<string, (connection: PeerConnection) => void>();

  private readonly connections = new Set<MemoryConnection>();

  private readonly paused = new Set<string>();

  private readonly paths = new Map<string, PathState>();

  transport(url: string): PeerTransport {
    return new MemoryPeerTransport(this, url);
  }

  /** Sets the state of the path between two addresses, in both directions. */
  setPath(left: string, right: string, state: PathState): void {
    this.paths.set(MemoryNetwork.pathKey(left, right), state);
    for (const connection of [...this.connections]) {
      const { localUrl, remoteUrl } = connection;
      if (MemoryNetwork.pathKey(localUrl, remoteUrl) === MemoryNetwork.pathKey(left, right)) {
        if (state === PathState.Cut && this.connections.has(connection)) {
          this.tally.count(FaultKind.CutLink);
          connection.terminate();
        }
        // Models a middlebox that lost the connection state: the connection stays silent after the
        // path is open again.
        connection.isSilent ||= state === PathState.Silent;
      }
    }
  }

  /** Makes open connections between two addresses drop all messages; new ones work. */
  silenceConnections(left: string, right: string): void {
    this.setPath(left, right, PathState.Silent);
    this.setPath(left, right, PathState.Open);
  }

  openAllPaths(): void {
    this.paths.clear();
  }

  countSent(url: string, bytes: number): void {
    const total = this.sent.get(url) ?? { messages: 0, bytes: 0 };
    this.sent.set(url, { messages: total.messages + 1, bytes: total.bytes + bytes });
  }

  removeConnection(connection: MemoryConnection): void {
    this.connections.delete(connection);
  }

  listen(url: string, accept: (connection: PeerConnection) => void): CleanUp {
    this.listeners.set(url, accept);
    return () => {
      if (this.listeners.get(url) === accept) {
        this.listeners.delete(url);
      }
    };
  }

  /** Closes the listener and all connections of an address, as when its process is killed. */
  kill(url: string): void {
    this.listeners.delete(url);
    for (const connection of [...this.connections]) {
      if (connection.localUrl === url) {
        connection.terminate();
      }
    }
  }

  /** Queues incoming messages at an address while its process is paused. */
  setPaused(url: string, isPaused: boolean): void {
    if (isPaused) {
      this.paused.add(url);
    } else {
      this.paused.delete(url);
    }
    for (const connection of [...this.connections]) {
      if (connection.localUrl === url) {
        connection.setPaused(isPaused);
      }
    }
  }

  connect(localUrl: string, remoteUrl: string): PeerConnection | PathState {
    const state = this.paths.get(MemoryNetwork.pathKey(localUrl, remoteUrl)) ?? PathState.Open;
    const accept = this.listeners.get(remoteUrl);
    if (state !== PathState.Open) {
      const isCut = state === PathState.Cut;
      this.tally.count(isCut ? FaultKind.RefusedConnection : FaultKind.SilentConnection);
      return state;
    }
    if (this.paused.has(remoteUrl)) {
      return PathState.Silent;
    }
    if (accept === undefined) {
      return PathState.Cut;
    }
    const localConnection = new MemoryConnection(this, localUrl, remoteUrl);
    const remoteConnection = new MemoryConnection(this, remoteUrl, localUrl);
    localConnection.other = remoteConnection;
    remoteConnection.other = localConnection;
    this.connections.add(localConnection).add(remoteConnection);
    accept(remoteConnection);
    return localConnection;
  }

  private static pathKey(left: string, right: string): string {
    return left < right ? `${left} ${right}` : `${right} ${left}`;
  }
}
