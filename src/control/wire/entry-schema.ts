import { array, mixed, number, object } from 'yup';
import { isCommand } from './command-guard.js';

export const entrySchema = object({
  index: number().required().integer().min(1),
  term: number().required().integer().min(0),
  command: mixed(isCommand).required(),
}).required();

export const entriesSchema = array(entrySchema).required();
