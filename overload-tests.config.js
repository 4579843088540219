/** The overload tests: one at a time, since each fills a process up to its memory. */
export default {
  files: ['packages/*/dist/overload/*.test.js'],
  timeout: '10m',
  workerThreads: false,
  concurrency: 1,
};
