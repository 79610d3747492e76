/** Resolves each setting from its flag, else its environment variable, else its default. */
import { SettingsError } from '@verbenashunt/core';
import { settingsSchema, type ValidationIssue, type Validator } from '@verbenashunt/schema';
import {
  describeSetting, envName, envPrefix, describeRange, type SettingSchema, type SettingsSchema,
} from './names.js';

const decimalPattern = /^-?\d+(\.\d+)?$/;

function parseValue(schema: SettingSchema, text: string): unknown {
  if (schema.type === 'integer' || schema.type === 'number') return decimalPattern.test(text) ? Number(text) : text;
  if (schema.type === 'boolean') return { true: true, false: false }[text] ?? text;
  return text;
}

function describeIssue(
  schema: SettingsSchema,
  values: Record<string, unknown>,
  issue: ValidationIssue,
): string {
  if (issue.keyword === 'required') {
    const name = String(issue.params.missingProperty);
    return `${describeSetting(name)} is missing (no value); it takes ${describeRange(schema.properties[name]!)}`;
  }
  const name = issue.instancePath.slice(1);
  const property = schema.properties[name];
  return property
    ? `${describeSetting(name)} is "${String(values[name])}"; it takes ${describeRange(property)}`
    : `${name} ${issue.message}`;
}

/** Variables of the operator commands; a daemon's environment may contain them. */
const commandVariables = ['VERBENASHUNT_ENTRY', 'VERBENASHUNT_KEY'];

/** Variables of both daemons, since an entry and an agent may share one environment. */
const daemonVariables = Object.values(settingsSchema.$defs)
  .flatMap(({ properties }) => Object.keys(properties)).map(envName);

function checkUnknownVariables(schema: SettingsSchema, env: NodeJS.ProcessEnv) {
  const known = new Set(Object.keys(schema.properties).map(envName));
  const allowed = new Set([...known, ...daemonVariables, ...commandVariables]);
  const unknown = Object.keys(env).find((key) => key.startsWith(envPrefix) && !allowed.has(key));
  if (unknown) {
    throw new SettingsError(`environment variable ${unknown} (value "${env[unknown]}") is not a setting; known are ${[...known].join(', ')}`);
  }
}

/**
 * Resolves and validates settings. Throws a SettingsError with the flag, variable, value and range
 * of the first invalid setting, or with the name of an unknown variable.
 */
export function resolveSettings<T>(
  schema: SettingsSchema,
  validator: Validator<T>,
  flags: Record<string, string | undefined>,
  env: NodeJS.ProcessEnv,
): T {
  checkUnknownVariables(schema, env);
  const texts = Object.keys(schema.properties)
    .map((name) => [name, flags[name] ?? env[envName(name)]] as const)
    .filter((pair): pair is readonly [string, string] => pair[1] !== undefined);
  const values: Record<string, unknown> = Object.fromEntries(
    texts.map(([name, text]) => [name, parseValue(schema.properties[name]!, text)]),
  );
  if (validator(values)) return values;
  throw new SettingsError(describeIssue(schema, values, validator.errors![0]!));
}
