export * from './acceptor.js';
export * from './proposer.js';
