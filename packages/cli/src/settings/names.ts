/** Names and value ranges of settings, as shown in messages, help and docs. */

export const envPrefix = 'VERBENASHUNT_';

/** The keywords of a setting's JSON schema that are used here. */
export interface SettingSchema {
  type: string;
  description?: string;
  default?: string | number | boolean;
  enum?: readonly string[];
  minimum?: number;
  maximum?: number;
  pattern?: string;
}

export interface SettingsSchema {
  required?: readonly string[];
  properties: Record<string, SettingSchema>;
}

const toKebabCase = (name: string) => name.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);

export const flagName = (name: string) => `--${toKebabCase(name)}`;
export const envName = (name: string) => `${envPrefix}${toKebabCase(name).replaceAll('-', '_').toUpperCase()}`;

/** Describes the values that a setting takes. */
export function describeRange(schema: SettingSchema): string {
  if (schema.enum) return `one of ${schema.enum.join(', ')}`;
  if (schema.type === 'integer') return `a whole number from ${schema.minimum} to ${schema.maximum}`;
  if (schema.type === 'boolean') return 'true or false';
  return schema.pattern ? `text that matches ${schema.pattern}` : 'text';
}

/** Formats a setting as its flag, followed by its environment variable. */
export const describeSetting = (name: string) => `${flagName(name)} (${envName(name)})`;
