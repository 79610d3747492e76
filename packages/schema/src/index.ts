/** Schemas of messages, settings and declarations, with generated types and validators. */
export type * from './generated/wire.js';
export type * from './generated/declarations.js';
export type * from './generated/platform.js';
export type * from './generated/engine.js';
export type * from './generated/settings.js';
export type * from './generated/api.js';
export { default as settingsSchema } from './generated/settings-schema.js';
export { default as declarationsSchema } from './generated/declarations-schema.js';
export { validators, type Validator, type ValidationIssue } from './validators.js';
