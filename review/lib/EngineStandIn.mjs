/* eslint no-await-in-loop: "off", no-restricted-syntax: "off", max-classes-per-file: "off", no-void: "off", import-x/extensions: "off", import-x/prefer-default-export: "off" */
import { createServer } from 'node:net';

const HEAD_END = '\r\n\r\n';

/**
 * Engine that speaks the part of PROTOCOL.md that the cases need: one request at a time on a
 * connection. Each request is passed to `handle`, which writes the bytes of the response.
 */
export class EngineStandIn {
  constructor(identifier, handle) {
    this.identifier = identifier;
    this.handle = handle;
    this.sockets = new Set();
    this.server = createServer((socket) => this.serve(socket));
  }

  async listen() {
    await new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this.address;
  }

  close() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  serve(socket) {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => {});
    let bytes = Buffer.alloc(0);
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        const headEnd = bytes.indexOf(HEAD_END);
        if (headEnd === -1) {
          return;
        }
        const [requestLine, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n');
        const headers = new Map(
          lines.map((line) => {
            const colon = line.indexOf(':');
            return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
          }),
        );
        const bodyStart = headEnd + HEAD_END.length;
        const bodyEnd = bodyStart + Number(headers.get('content-length') ?? 0);
        if (bytes.length < bodyEnd) {
          return;
        }
        const [method, path] = requestLine.split(' ');
        const body = bytes.subarray(bodyStart, bodyEnd).toString('utf8');
        bytes = bytes.subarray(bodyEnd);
        this.receive(socket, { method, path, headers, body });
      }
    });
  }

  /** Another engine than the one that is named responds with 421 and does not run the request. */
  receive(socket, request) {
    const target = request.headers.get('x-target-instance');
    if (target !== undefined && target !== this.identifier) {
      socket.write(
        `HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: ${request.headers.get('x-request-id')}\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    if (request.path === '/order') {
      // "409: another order is in progress": the engines of the cases keep their stages.
      socket.write('HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n');
      return;
    }
    this.handle(socket, request);
  }
}
