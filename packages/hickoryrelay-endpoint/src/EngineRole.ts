/** The inference phases that an engine runs: prefill, decode, or both (mixed). */
export const EngineRole = { Prefill: 'prefill', Decode: 'decode', Mixed: 'mixed' } as const;

export type EngineRole = (typeof EngineRole)[keyof typeof EngineRole];
