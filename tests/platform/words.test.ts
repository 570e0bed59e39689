import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const platformWords: readonly RegExp[] = [
  /ledgehill-(attempt-id|server-seal|server-id|budget-ms|want-server|want-version|not-run|model|token-count|prompt-prefix|urgency|weight-versions)/i,
  /\/ledgehill\//,
  /LEDGEHILL_NODE_FILE/,
  /\bsvcs?\b/,
  /\b(max_conns|health_path|quiesce_ms|apply_ms|retry_ratio|retry_extra|linger_s|sync_s|disk_cap_mb|timeout_ms|target_ms|gap_target_ms|kv_cap|warm_left_ms|next_cursor|page_tok|port_range|nodename|datadir|readyz|hdr_bytes|body_max_bytes)\b/,
  /\blimits_sys\b/,
];

const filesBelow = (folder: string): readonly string[] =>
  readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    return entry.isDirectory() ? filesBelow(path) : entry.name.endsWith('.ts') ? [path] : [];
  });

test('no word of the platform stands in the product', () => {
  const found = filesBelow('src').flatMap((path) =>
    readFileSync(path, 'utf8')
      .split('\n')
      .flatMap((line, place) =>
        platformWords.some((word) => word.test(line)) ? [`${path}:${place + 1}: ${line.trim()}`] : [],
      ),
  );
  assert.equal(found, []);
});

test('the words are found where they stand', () => {
  const schema = readFileSync(join('platform', 'operator', 'document-schema.ts'), 'utf8');
  assert.ok(platformWords.some((word) => word.test(schema)));
});

test.run();
