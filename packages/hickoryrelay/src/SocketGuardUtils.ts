import type { Socket } from 'node:net';

/**
 * Runs the check before each write to the socket, in the same tick. If the check throws, the socket
 * is destroyed with that error and nothing is written.
 */
export function guardWrites(socket: Socket, check: () => void): void {
  const write = socket.write.bind(socket) as (...values: unknown[]) => boolean;
  const guarded = (...values: unknown[]): boolean => {
    try {
      check();
    } catch (error) {
      socket.destroy(error as Error);
      return false;
    }
    return write(...values);
  };
  Object.assign(socket, { write: guarded });
}
