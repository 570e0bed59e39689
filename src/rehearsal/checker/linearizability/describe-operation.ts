import type { RegisterOperation, RegisterValue } from './register-operation.js';

const describeValue = ({ version, text }: RegisterValue): string =>
  text === undefined ? 'nothing' : `version ${version} "${text}"`;

/** One line about an operation, for reports of broken rules. */
export const describeOperation = (operation: RegisterOperation): string => {
  const span = `${operation.calledUs}-${operation.answeredUs} us`;
  return operation.type === 'read'
    ? `the read by ${operation.client} (${span}) of ${describeValue(operation.value)}`
    : `the order by ${operation.client} (${span}) of ${describeValue(operation.value)} on base ${operation.base}, answered ${operation.answer}`;
};
