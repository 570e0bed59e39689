import { readFileSync } from 'node:fs';
import ts from 'typescript';
import { test } from 'uvu';
import * as assert from 'uvu/assert';

const sourceOf = (path: string): ts.SourceFile =>
  ts.createSourceFile(path, readFileSync(path, 'utf8'), ts.ScriptTarget.ES2022, true);

test('the deployed program listens for SIGHUP before it loads anything', () => {
  const { statements } = sourceOf('platform/main.ts');
  const loading = statements.filter((statement) => ts.isImportDeclaration(statement));
  assert.equal(
    loading.map((statement) => statement.getText()),
    [],
    'static imports are loaded before the first statement runs',
  );
  assert.match(statements[0]?.getText() ?? '', /^process\.on\('SIGHUP'/);
});

test.run();
