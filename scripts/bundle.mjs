/** Bundles the platform daemon into a single file, for faster startup and less memory. */
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
  // CommonJS dependencies in the bundle call `require`, which ES modules do not define.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});

if (process.argv[1] === fileURLToPath(import.meta.url)) await bundle('target/verbenashunt.mjs');
