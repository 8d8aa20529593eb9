import { configDefaults, defineConfig } from 'vitest/config';

/** Tests of what is kept in memory of responses without end. */
const ENDLESS_RESPONSE_TESTS = ['**/EndlessResponses.test.ts', '**/EndlessServer.test.ts'];

/** Tests of processes beside callers that keep to no limit, or with a busy event loop. */
const SEQUENTIAL_TESTS = [
  '**/e2e/CallerCrowd.test.ts',
  '**/e2e/CallerMemory.test.ts',
  '**/e2e/ConfigurationUnderLoad.test.ts',
  '**/e2e/EndlessResponseCrowd.test.ts',
  '**/e2e/HeadMemory.test.ts',
];

/** An instance has 250 MB. */
const ENDLESS_RESPONSE_HEAP_MEGABYTES = 256;

export default defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source', 'node'] } },
  test: {
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4,
    reporters: ['default'],
    projects: [
      {
        extends: true,
        test: {
          name: 'general',
          include: [
            'packages/*/src/__tests__/**/*.test.ts',
            'platform/src/__tests__/**/*.test.ts',
            'scripts/src/__tests__/**/*.test.ts',
          ],
          exclude: [...configDefaults.exclude, ...ENDLESS_RESPONSE_TESTS, ...SEQUENTIAL_TESTS],
        },
      },
      {
        extends: true,
        test: {
          name: 'endless responses',
          include: ENDLESS_RESPONSE_TESTS,
          execArgv: [`--max-old-space-size=${ENDLESS_RESPONSE_HEAP_MEGABYTES}`],
        },
      },
      {
        extends: true,
        test: {
          name: 'sequential',
          include: SEQUENTIAL_TESTS,
          // Runs after the other projects and one file at a time, since other load changes the result.
          fileParallelism: false,
          maxWorkers: 1,
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
