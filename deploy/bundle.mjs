import { rm, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const pathOf = (name) => fileURLToPath(new URL(name, import.meta.url));

/** Builds the deployed program into a folder, which is emptied before. */
export const buildBundle = async (folder) => {
  await rm(folder, { recursive: true, force: true });
  await build({
    entryPoints: { ledgehill: 'platform/main.ts' },
    outdir: folder,
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
        setup: (build) => build.onResolve({ filter: /^undici$/ }, () => ({ path: pathOf('undici-client.mjs') })),
      },
      {
        name: 'plain-assert',
        setup: (build) =>
          build.onResolve({ filter: /^(node:)?assert$/ }, ({ importer }) =>
            importer === pathOf('plain-assert.cjs') ? { external: true } : { path: pathOf('plain-assert.cjs') },
          ),
      },
    ],
    banner: {
      js: "import { createRequire as requireFrom } from 'node:module'; const require = requireFrom(import.meta.url);",
    },
  });
  await writeFile(join(folder, 'package.json'), '{ "type": "module" }\n');
};
