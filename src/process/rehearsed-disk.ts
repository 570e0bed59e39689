import { boolean, number, object } from 'yup';
import { validate } from '../common/validate.js';
import { noDiskFault, type DiskFault } from '../disk/disk-fault.js';

const troubleSchema = object({ delayUs: number().required().min(0), fails: boolean().required() }).required();

/**
 * Receives the disk faults that the launcher of a rehearsal (a fault-injection run) sends over the IPC channel. Returns a getter of
 * the fault in effect; without a channel there is never one.
 */
export const receiveDiskTrouble = (): (() => DiskFault) => {
  let trouble = noDiskFault;
  if (process.channel !== undefined) {
    process.on('message', (message) => {
      validate(troubleSchema, message).ifRight((received) => {
        trouble = received;
      });
    });
    process.channel.unref();
  }
  return () => trouble;
};
