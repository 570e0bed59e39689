import { boolean, number, object } from 'yup';
import { validate } from '../common/validate.js';
import { noDiskFault, type DiskFault } from '../disk/disk-fault.js';

const troubleSchema = object({ delayUs: number().required().min(0), fails: boolean().required() }).required();

/** The trouble that a rehearsal's launcher brings to this process's disk; none for a process that was started otherwise. */
export const receiveDiskTrouble = (): (() => DiskFault) => {
  let currentTrouble = noDiskFault;
  if (process.channel !== undefined) {
    process.on('message', (message) => {
      validate(troubleSchema, message).ifRight((trouble) => {
        currentTrouble = trouble;
      });
    });
    process.channel.unref();
  }
  return () => currentTrouble;
};
