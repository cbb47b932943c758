export * from './cost-of.js';
export * from './fleet-members.js';
export * from './quota-account.js';
export * from './quota-choice.js';
export * from './quota-messages.js';
export * from './quota-node.js';
export * from './quota-owner.js';
export * from './quota-peers.js';
