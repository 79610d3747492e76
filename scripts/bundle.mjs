/** Bundles the platform daemon into a single file, for faster startup and less memory. */
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const root = fileURLToPath(new URL('..', import.meta.url));

/** Replaces the whole of undici by the parts in use; an alias would apply to its files as well. */
const undiciClient = {
  name: 'undici-client',
  setup({ onResolve }) {
    onResolve({ filter: /^undici$/ }, () => ({ path: join(root, 'scripts/undici-client.mjs') }));
  },
};

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
  plugins: [undiciClient],
  // CommonJS dependencies in the bundle call `require`, which ES modules do not define.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});

if (process.argv[1] === fileURLToPath(import.meta.url)) await bundle('target/verbenashunt.mjs');
