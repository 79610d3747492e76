import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

export default defineConfig({
  resolve: {
    alias: [{
      find: '@verbenashunt/platform/stand-in',
      replacement: fileURLToPath(new URL('./platform/stand-in/index.ts', import.meta.url)),
    }, {
      find: '@verbenashunt/platform',
      replacement: fileURLToPath(new URL('./platform/src/index.ts', import.meta.url)),
    }, {
      find: /^@verbenashunt\/([a-z-]+)$/,
      replacement: `${fileURLToPath(new URL('./packages/', import.meta.url))}$1/src/index.ts`,
    }],
  },
  test: {
    include: ['test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 3,
    server: { deps: { inline: ['clipanion'] } },
  },
});
