/** Account of calls on open routes without a key. Not a valid account name. */
export const OPEN_ACCOUNT = '*open*';
