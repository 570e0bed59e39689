#!/usr/bin/env node
import { Command } from 'commander';
import { addDecideCommand } from './decide-command.js';
import { addExplainCommand } from './explain-command.js';
import { addExperimentCommand } from './experiment-command.js';
import { addOperatorCommands } from './operator-commands.js';
import { addRehearseCommand } from './rehearse-command.js';
import { addRunCommands } from './run-commands.js';

const program = new Command('ledgehill')
  .description('a router fleet for language models that schedules the warm-up and entry of new servers')
  .version('0.1.0');

addRunCommands(program);
addOperatorCommands(program);
addExplainCommand(program);
addDecideCommand(program);
addRehearseCommand(program);
addExperimentCommand(program);

await program.parseAsync();
