/* eslint no-await-in-loop: "off", no-restricted-syntax: "off", max-classes-per-file: "off", no-void: "off", import-x/extensions: "off", import-x/prefer-default-export: "off" */
import { connect } from 'node:net';

const HEAD_END = '\r\n\r\n';

function parseHead(text) {
  const [statusLine, ...lines] = text.split('\r\n');
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { status: Number(statusLine.split(' ')[1]), headers };
}

/** Decodes a chunked body. `isComplete` is true once the last chunk has arrived. */
function decodeChunked(bytes) {
  const parts = [];
  let position = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', position);
    if (lineEnd === -1) {
      return { body: Buffer.concat(parts), isComplete: false };
    }
    const size = Number.parseInt(bytes.subarray(position, lineEnd).toString('latin1'), 16);
    const start = lineEnd + 2;
    if (size === 0) {
      return { body: Buffer.concat(parts), isComplete: bytes.length >= start + 2 };
    }
    if (bytes.length < start + size + 2) {
      parts.push(bytes.subarray(start, start + size));
      return { body: Buffer.concat(parts), isComplete: false };
    }
    parts.push(bytes.subarray(start, start + size));
    position = start + size + 2;
  }
}

/**
 * Reads one response as HTTP/1.1 (RFC 9112, section 6.3) delimits it: by its chunks, by its length,
 * or, without either, by the close of the connection. A reset is never the end of a response.
 */
function parseResponse(bytes, isClosed) {
  const headEnd = bytes.indexOf(HEAD_END);
  if (headEnd === -1) {
    return undefined;
  }
  const { status, headers } = parseHead(bytes.subarray(0, headEnd).toString('latin1'));
  const rest = bytes.subarray(headEnd + HEAD_END.length);
  if (headers.get('transfer-encoding') === 'chunked') {
    return { status, headers, framing: 'chunked', ...decodeChunked(rest) };
  }
  const length = headers.get('content-length');
  if (length !== undefined) {
    return {
      status,
      headers,
      framing: 'length',
      body: rest.subarray(0, Number(length)),
      isComplete: rest.length >= Number(length),
    };
  }
  return { status, headers, framing: 'close', body: rest, isComplete: isClosed };
}

/**
 * Sends one request on a connection of its own. Resolves with the response and how the connection
 * ended: `fin`, `reset`, or undefined if the response was complete before.
 */
export function send({
  port,
  method = 'POST',
  path,
  headers = {},
  body = '',
  onData,
  timeout = 9000,
}) {
  return new Promise((resolve) => {
    const socket = connect({ host: '127.0.0.1', port });
    let bytes = Buffer.alloc(0);
    let timer;
    const finish = (end) => {
      clearTimeout(timer);
      const response = parseResponse(bytes, end === 'fin');
      socket.destroy();
      resolve({ response, end, bytes });
    };
    timer = setTimeout(() => finish('timeout'), timeout);
    const fields = {
      Host: 'review.example',
      'Content-Length': String(Buffer.byteLength(body)),
      ...headers,
    };
    const head = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`${method} ${path} HTTP/1.1\r\n${head.join('')}\r\n${body}`);
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk]);
      onData?.(bytes);
      if (parseResponse(bytes, false)?.isComplete === true) {
        finish(undefined);
      }
    });
    // Node reports a reset that arrives together with data as a normal end. A socket that was reset
    // has no peer address any more.
    socket.on('end', () => finish(socket.remoteAddress === undefined ? 'reset' : 'fin'));
    socket.on('error', (error) => finish(error.code === 'ECONNRESET' ? 'reset' : error.code));
  });
}
