/** One resolver for every setting: its flag, else its environment variable, else its default. */
import { SettingsError } from '@verbenashunt/core';
import { settingsSchema, type ValidationIssue, type Validator } from '@verbenashunt/schema';
import {
  describeSetting, envOf, envPrefix, rangeOf, type SettingSchema, type SettingsSchema,
} from './names.js';

const decimal = /^-?\d+(\.\d+)?$/;

function parse(schema: SettingSchema, text: string): unknown {
  if (schema.type === 'integer' || schema.type === 'number') return decimal.test(text) ? Number(text) : text;
  if (schema.type === 'boolean') return { true: true, false: false }[text] ?? text;
  return text;
}

function faultOf(
  schema: SettingsSchema,
  values: Record<string, unknown>,
  issue: ValidationIssue,
): string {
  if (issue.keyword === 'required') {
    const name = String(issue.params.missingProperty);
    return `${describeSetting(name)} is missing (no value); it takes ${rangeOf(schema.properties[name]!)}`;
  }
  const name = issue.instancePath.slice(1);
  const property = schema.properties[name];
  return property
    ? `${describeSetting(name)} is "${String(values[name])}"; it takes ${rangeOf(property)}`
    : `${name} ${issue.message}`;
}

/** Variables of the operators' commands, which may stand in a daemon's environment. */
const commandVariables = ['VERBENASHUNT_ENTRY', 'VERBENASHUNT_KEY'];

/** One environment may serve both daemons of a VM, so a setting of either is known. */
const daemonVariables = Object.values(settingsSchema.$defs)
  .flatMap(({ properties }) => Object.keys(properties)).map(envOf);

function checkUnknown(schema: SettingsSchema, env: NodeJS.ProcessEnv) {
  const known = new Set(Object.keys(schema.properties).map(envOf));
  const allowed = new Set([...known, ...daemonVariables, ...commandVariables]);
  const unknown = Object.keys(env).find((key) => key.startsWith(envPrefix) && !allowed.has(key));
  if (unknown) {
    throw new SettingsError(`environment variable ${unknown} (value "${env[unknown]}") is not a setting; known are ${[...known].join(', ')}`);
  }
}

/**
 * Resolves and checks settings. Throws SettingsError that names flag, variable, value and range.
 */
export function resolveSettings<T>(
  schema: SettingsSchema,
  validator: Validator<T>,
  flags: Record<string, string | undefined>,
  env: NodeJS.ProcessEnv,
): T {
  checkUnknown(schema, env);
  const texts = Object.keys(schema.properties)
    .map((name) => [name, flags[name] ?? env[envOf(name)]] as const)
    .filter((pair): pair is readonly [string, string] => pair[1] !== undefined);
  const values: Record<string, unknown> = Object.fromEntries(
    texts.map(([name, text]) => [name, parse(schema.properties[name]!, text)]),
  );
  if (validator(values)) return values;
  throw new SettingsError(faultOf(schema, values, validator.errors![0]!));
}
