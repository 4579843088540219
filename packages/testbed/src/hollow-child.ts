/** Entry point of a child process of a hollow fleet. */
import { errorMessage } from '@reedyard/logging';
import { HollowHost, type HostOperations } from './hollow-host.js';

// Performs the operations that the parent process requests over IPC, and exits with the parent.
const host = new HollowHost();
process.on(
  'message',
  (message: {
    readonly id: number;
    readonly method: keyof HostOperations;
    readonly words: readonly unknown[];
  }) => {
    // The method is applied to its host below.
    // eslint-disable-next-line @typescript-eslint/unbound-method
    const method = host[message.method] as (...args: readonly unknown[]) => Promise<unknown>;
    method.apply(host, [...message.words]).then(
      (value) => process.send?.({ id: message.id, value }),
      (thrown: unknown) => process.send?.({ id: message.id, fault: errorMessage(thrown) }),
    );
  },
);
process.on('disconnect', () => {
  void host.close().finally(() => process.exit(0));
});
