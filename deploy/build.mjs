import { rm, writeFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

await rm('target', { recursive: true, force: true });
await build({
  entryPoints: { ledgehill: 'platform/main.ts' },
  outdir: 'target',
  bundle: true,
  splitting: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  logLevel: 'warning',
  plugins: [
    {
      name: 'undici-client',
      setup: (build) =>
        build.onResolve({ filter: /^undici$/ }, () => ({
          path: fileURLToPath(new URL('undici-client.mjs', import.meta.url)),
        })),
    },
  ],
  banner: {
    js: "import { createRequire as requireFrom } from 'node:module'; const require = requireFrom(import.meta.url);",
  },
});
await writeFile('target/package.json', '{ "type": "module" }\n');
