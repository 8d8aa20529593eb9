import { BlockServer } from './BlockServer.js';
import { endlessResponse } from './EndlessResponse.js';

import type { EndlessResponseKind } from './EndlessResponse.js';
import type { Socket } from 'node:net';

const IDENTIFIER_PATTERN = /x-request-id: (\S+)/iu;

/** An endpoint in trouble, which repeats the identifiers of the requests that it answers. */
export class EndlessEndpoint extends BlockServer {
  private readonly kind: EndlessResponseKind;

  private readonly status: number;

  constructor(kind: EndlessResponseKind, status = 200) {
    super();
    this.kind = kind;
    this.status = status;
  }

  protected override respond(socket: Socket, head: string): void {
    const [, identifier = ''] = IDENTIFIER_PATTERN.exec(head) ?? [];
    const { beginning, block } = endlessResponse(this.kind, identifier, this.status);
    socket.write(beginning, 'latin1');
    if (block !== '') {
      this.writeBlocks(socket, block);
    }
  }
}
