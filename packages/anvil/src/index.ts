export * from './core.js';
