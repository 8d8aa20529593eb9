import { FailureKind } from 'hickoryrelay/Failure';
import { RelayError } from 'hickoryrelay/RelayError';
import { PeerConnection, PeerTransport } from 'hickoryrelay-link/PeerConnection';

import { FaultKind, FaultTally } from './FaultTally.js';

import type { CleanUp } from 'hickoryrelay/LifecycleManager';

/** What the path between two addresses does. */
export const PathState = {
  Open: 'open',
  /** Connections end and no new ones open. */
  Cut: 'cut',
  /** Connections stay open and lose every message; no new ones open. */
  Silent: 'silent',
} as const;

export type PathState = (typeof PathState)[keyof typeof PathState];

/** What connections and transports need of the net that they belong to. */
interface NetAccess {
  readonly tally: FaultTally;
  onSent(url: string, bytes: number): void;
  deliver(arrival: () => void): void;
  forget(connection: MemoryConnection): void;
  listen(url: string, accept: (connection: PeerConnection) => void): CleanUp;
  connect(localUrl: string, remoteUrl: string): PeerConnection | PathState;
}

class MemoryConnection extends PeerConnection {
  readonly localUrl: string;

  readonly remoteUrl: string;

  other: MemoryConnection | undefined;

  isSilent = false;

  private isHeld = false;

  private readonly arrivals: (Uint8Array | undefined)[] = [];

  private readonly net: NetAccess;

  constructor(net: NetAccess, localUrl: string, remoteUrl: string) {
    super();
    this.net = net;
    this.localUrl = localUrl;
    this.remoteUrl = remoteUrl;
  }

  override get queuedBytes(): number {
    return 0;
  }

  override send(bytes: Uint8Array): void {
    this.net.onSent(this.localUrl, bytes.length);
    if (this.isSilent) {
      this.net.tally.count(FaultKind.LostMessage);
    } else {
      this.net.deliver(() => this.other?.arrive(bytes));
    }
  }

  override terminate(): void {
    this.received.close();
    this.net.forget(this);
    if (!this.isSilent) {
      this.net.deliver(() => this.other?.arrive(undefined));
    }
  }

  /** Holds back what arrives, as while the process at this end is paused. */
  hold(isHeld: boolean): void {
    this.isHeld = isHeld;
    if (!isHeld) {
      this.arrivals.splice(0).forEach((each) => this.arrive(each));
    }
  }

  /** Takes a message, or the end of the connection. */
  private arrive(bytes: Uint8Array | undefined): void {
    if (this.isHeld) {
      this.arrivals.push(bytes);
    } else if (bytes === undefined) {
      this.received.close();
      this.net.forget(this);
    } else {
      this.received.push(bytes);
    }
  }
}

class MemoryPeerTransport extends PeerTransport {
  override readonly url: string;

  private readonly net: NetAccess;

  constructor(net: NetAccess, url: string) {
    super();
    this.net = net;
    this.url = url;
  }

  override async listen(accept: (connection: PeerConnection) => void): Promise<CleanUp> {
    return this.net.listen(this.url, accept);
  }

  override async connect(url: string, signal: AbortSignal): Promise<PeerConnection> {
    const connection = this.net.connect(this.url, url);
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

/** The paths between entry instances of one process, with faults. For tests and measurements. */
export class MemoryNet implements NetAccess {
  /** Takes the faults that took effect. */
  tally = new FaultTally();

  /** Messages and bytes sent by each address. */
  readonly sent = new Map<string, { messages: number; bytes: number }>();

  /** Brings each message to the other end; replaced to make messages travel for a while. */
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
    this.paths.set(MemoryNet.pathKey(left, right), state);
    for (const connection of [...this.connections]) {
      const { localUrl, remoteUrl } = connection;
      if (MemoryNet.pathKey(localUrl, remoteUrl) === MemoryNet.pathKey(left, right)) {
        if (state === PathState.Cut && this.connections.has(connection)) {
          this.tally.count(FaultKind.CutLink);
          connection.terminate();
        }
        // A connection that has lost its state stays silent when the path is open again.
        connection.isSilent ||= state === PathState.Silent;
      }
    }
  }

  /** Silences the open connections between two addresses; new ones work. */
  silenceConnections(left: string, right: string): void {
    this.setPath(left, right, PathState.Silent);
    this.setPath(left, right, PathState.Open);
  }

  /** Opens all paths. */
  heal(): void {
    this.paths.clear();
  }

  onSent(url: string, bytes: number): void {
    const total = this.sent.get(url) ?? { messages: 0, bytes: 0 };
    this.sent.set(url, { messages: total.messages + 1, bytes: total.bytes + bytes });
  }

  forget(connection: MemoryConnection): void {
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

  /** Ends everything at an address at once, as when its process is killed. */
  kill(url: string): void {
    this.listeners.delete(url);
    for (const connection of [...this.connections]) {
      if (connection.localUrl === url) {
        connection.terminate();
      }
    }
  }

  /** Holds back everything at an address, as while its process is paused. */
  setPaused(url: string, isPaused: boolean): void {
    if (isPaused) {
      this.paused.add(url);
    } else {
      this.paused.delete(url);
    }
    for (const connection of [...this.connections]) {
      if (connection.localUrl === url) {
        connection.hold(isPaused);
      }
    }
  }

  connect(localUrl: string, remoteUrl: string): PeerConnection | PathState {
    const state = this.paths.get(MemoryNet.pathKey(localUrl, remoteUrl)) ?? PathState.Open;
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
    const near = new MemoryConnection(this, localUrl, remoteUrl);
    const far = new MemoryConnection(this, remoteUrl, localUrl);
    near.other = far;
    far.other = near;
    this.connections.add(near).add(far);
    accept(far);
    return near;
  }

  private static pathKey(left: string, right: string): string {
    return left < right ? `${left} ${right}` : `${right} ${left}`;
  }
}
