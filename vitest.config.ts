import { defineConfig } from 'vitest/config';

export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source', 'node'] } },
  test: {
    include: [
      'packages/*/src/__tests__/**/*.test.ts',
      'platform/src/__tests__/**/*.test.ts',
      'scripts/src/__tests__/**/*.test.ts',
    ],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
    reporters: ['default'],
  },
});
