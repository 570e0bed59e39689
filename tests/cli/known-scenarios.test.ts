import { test } from 'uvu';
import * as assert from 'uvu/assert';
import { knownDeployments, knownScenarios, knownSimScenarios } from '../../src/cli/known-scenarios.js';
import { deployments } from '../../src/rehearsal/deployment/deployments.js';
import { scenarios } from '../../src/rehearsal/run/scenarios.js';
import { simScenarios } from '../../src/sim/sim-scenarios.js';

const namesOf = (items: readonly { readonly name: string; readonly about: string }[]) =>
  items.map(({ name, about }) => ({ name, about }));

test('the help lists exactly the existing scenarios and deployments', () => {
  assert.equal(knownScenarios, namesOf(scenarios));
  assert.equal(knownSimScenarios, namesOf(simScenarios));
  assert.equal(knownDeployments, Object.keys(deployments));
});

test.run();
