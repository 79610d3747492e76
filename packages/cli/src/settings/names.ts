/** Names and ranges of settings, as they stand in messages, help and docs. */

export const envPrefix = 'VERBENASHUNT_';

/** What the resolver reads of a setting's schema. */
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

const kebab = (name: string) => name.replace(/[A-Z]/g, (c) => `-${c.toLowerCase()}`);

export const flagOf = (name: string) => `--${kebab(name)}`;
export const envOf = (name: string) => `${envPrefix}${kebab(name).replaceAll('-', '_').toUpperCase()}`;

/** The values that a setting takes, in words. */
export function rangeOf(schema: SettingSchema): string {
  if (schema.enum) return `one of ${schema.enum.join(', ')}`;
  if (schema.type === 'integer') return `a whole number from ${schema.minimum} to ${schema.maximum}`;
  if (schema.type === 'boolean') return 'true or false';
  return schema.pattern ? `text that matches ${schema.pattern}` : 'text';
}

/** Flag and variable of a setting. */
export const describeSetting = (name: string) => `${flagOf(name)} (${envOf(name)})`;
