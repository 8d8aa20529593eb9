/** The requests of a path, and the services to which its route sends them now. */
export interface StreamTarget {
  readonly host: string;
  /** Without the query. */
  readonly path: string;
  readonly services: readonly string[];
}
