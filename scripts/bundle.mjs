/** Bundles the platform's daemon into one file under target/, so that it starts fast and small. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/bin.ts'],
  outfile: 'target/verbenashunt.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  sourcemap: false,
  logLevel: 'warning',
  alias: Object.fromEntries(['schema', 'core', 'wire', 'gateway']
    .map((name) => [`@verbenashunt/${name}`, `./packages/${name}/src/index.ts`])),
  // Packages in the older module format expect `require`.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});
