import { boolean, number, object } from 'yup';
import { checked } from '../common/checked.js';
import { noTrouble, type DiskTrouble } from '../disk/disk-trouble.js';

const troubleSchema = object({ delayUs: number().required().min(0), fails: boolean().required() }).required();

/** The trouble that a rehearsal's launcher brings to this process's disk; none for a process that was started otherwise. */
export const receiveDiskTrouble = (): (() => DiskTrouble) => {
  let currentTrouble = noTrouble;
  if (process.channel !== undefined) {
    process.on('message', (message) => {
      checked(troubleSchema, message).ifRight((trouble) => {
        currentTrouble = trouble;
      });
    });
    process.channel.unref();
  }
  return () => currentTrouble;
};
