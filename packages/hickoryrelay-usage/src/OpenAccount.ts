/** Account of calls without a key on open routes. Not a valid name of a client account. */
export const OPEN_ACCOUNT = '*open*';
