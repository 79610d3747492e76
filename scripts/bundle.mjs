/** Bundles the platform's daemon into one file, so that it starts fast and small. */
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

export const bundle = (outfile) => build({
  absWorkingDir: root,
  entryPoints: ['platform/src/bin.ts'],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  logLevel: 'warning',
  alias: Object.fromEntries(['schema', 'core', 'wire', 'gateway']
    .map((name) => [`@verbenashunt/${name}`, `./packages/${name}/src/index.ts`])),
  // Packages in the older module format expect `require`.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});

if (process.argv[1] === fileURLToPath(import.meta.url)) await bundle('target/verbenashunt.mjs');
