/** Version of an engine's software. Undefined if the engine states none, which equals only itself. */
export type SoftwareVersion = string | undefined;
