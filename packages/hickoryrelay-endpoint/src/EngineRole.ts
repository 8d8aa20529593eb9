/** The share of model work that an engine does. */
export const EngineRole = { Prefill: 'prefill', Decode: 'decode', Mixed: 'mixed' } as const;

export type EngineRole = (typeof EngineRole)[keyof typeof EngineRole];
