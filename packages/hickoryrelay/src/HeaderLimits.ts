/**
 * `maxHeadersCount` of a server that keeps all lines of a head, so that only the size of a head decides whether it is
 * read. Beyond another number, 1,000 by default, the HTTP server drops lines and emits the request without them.
 */
export const ALL_HEADER_LINES = 0;
