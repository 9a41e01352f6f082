/**
 * Settings from flags and environment variables, validated by schemas.
 *
 * A program declares its settings as specifications; the flags, the variables,
 * the validation and the printed table are all derived from them. A flag takes
 * precedence over a variable, and a variable over the default.
 */
import * as v from 'valibot';

const ENV_PREFIX = 'OLEANDER_';
const MASK = '********';

/**
 * Variables of `oleanderctl`, accepted since they may be set in the same shell.
 */
const OPERATOR_VARIABLES = ['OLEANDER_ADMIN_ADDRESS', 'OLEANDER_OPERATOR'];

/** Declaration of a setting. */
export interface SettingSpecification {
  /** Schema that parses the text into the value. */
  readonly schema: v.GenericSchema<string, unknown>;
  /** Default value as text; a setting without one is required. */
  readonly fallback?: string;
  /** Unit of the value, for the printed table. */
  readonly unit?: string;
  /** What the setting means, for the printed table. */
  readonly meaning: string;
  /** Whether the value is masked wherever settings are printed. */
  readonly secret?: boolean;
}

/** Specifications by setting name, in camel case. */
export type SettingSpecifications = Readonly<
  Record<string, SettingSpecification>
>;

/** Parsed values of settings, by setting name. */
export type SettingValues<S extends SettingSpecifications> = {
  readonly [K in keyof S]: v.InferOutput<S[K]['schema']>;
};

/** Origin of the value of a setting. */
export type SettingSource = 'flag' | 'environment' | 'default';

/** One row of the printed table of settings. */
export interface SettingRow {
  readonly flag: string;
  readonly variable: string;
  readonly value: string;
  readonly fallback: string;
  readonly unit: string;
  readonly source: SettingSource | 'missing';
  readonly meaning: string;
}

/** Parsed settings, or one line for each problem. */
export type LoadedSettings<S extends SettingSpecifications> =
  | {readonly ok: true; readonly values: SettingValues<S>}
  | {readonly ok: false; readonly problems: string[]};

/** Schema of a setting that is a whole number from `min` to `max`. */
export function wholeNumberSchema(min: number, max: number) {
  return v.pipe(
    v.string(),
    v.regex(/^-?\d+$/, 'must be a whole number'),
    v.transform(Number),
    v.minValue(min, `must be at least ${min}`),
    v.maxValue(max, `must be at most ${max}`),
  );
}

/** Schema of a text setting of at least `min` characters. */
export function textSchema(min = 1) {
  return v.pipe(
    v.string(),
    v.minLength(min, `must have at least ${min} characters`),
  );
}

/** Schema of a setting that is one of `choices`. */
export function oneOfSchema<const T extends readonly string[]>(choices: T) {
  return v.pipe(v.string(), v.picklist(choices));
}

/** Flag of a setting: `entryPort` becomes `--entry-port`. */
export function flagName(name: string): string {
  return `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/** Variable of a setting: `entryPort` becomes `OLEANDER_ENTRY_PORT`. */
export function variableName(name: string): string {
  const snakeCase = name.replace(/[A-Z]/g, letter => `_${letter}`);
  return ENV_PREFIX + snakeCase.toUpperCase();
}

/** Inputs from which settings are read. */
export interface SettingInputs {
  /** Values of the given flags, by setting name. */
  readonly flags: Readonly<Record<string, string | undefined>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Finds the text of a setting in the order flag, variable, default. */
function findSettingText(
  name: string,
  specification: SettingSpecification,
  inputs: SettingInputs,
): {text: string | undefined; source: SettingSource | 'missing'} {
  const flag = inputs.flags[name];
  if (flag !== undefined) return {text: flag, source: 'flag'};
  const variable = inputs.environment[variableName(name)];
  if (variable !== undefined) return {text: variable, source: 'environment'};
  if (specification.fallback === undefined) {
    return {text: undefined, source: 'missing'};
  }
  return {text: specification.fallback, source: 'default'};
}

function parseSetting(
  name: string,
  specification: SettingSpecification,
  inputs: SettingInputs,
): {value: unknown} | {problem: string} {
  const {text, source} = findSettingText(name, specification, inputs);
  const displayName = `${flagName(name)} (${variableName(name)})`;
  if (text === undefined) return {problem: `${displayName} is required`};
  const parsed = v.safeParse(specification.schema, text);
  if (parsed.success) return {value: parsed.output};
  const quotedText = specification.secret ? '' : `: ${JSON.stringify(text)}`;
  const cause = parsed.issues[0].message;
  return {problem: `${displayName} from ${source}${quotedText}: ${cause}`};
}

/**
 * Reads and validates all settings. An environment variable that has the prefix
 * `OLEANDER_` but belongs to no setting is a problem too: it may be misspelled.
 */
export function loadSettings<S extends SettingSpecifications>(
  specifications: S,
  inputs: SettingInputs,
): LoadedSettings<S> {
  const values: Record<string, unknown> = {};
  const problems: string[] = [];
  for (const [name, specification] of Object.entries(specifications)) {
    const result = parseSetting(name, specification, inputs);
    if ('problem' in result) problems.push(result.problem);
    else values[name] = result.value;
  }
  const variableNames = Object.keys(specifications).map(variableName);
  for (const variable of Object.keys(inputs.environment)) {
    if (!variable.startsWith(ENV_PREFIX)) continue;
    if ([...variableNames, ...OPERATOR_VARIABLES].includes(variable)) continue;
    problems.push(`${variable} is not known; unset it or correct its name`);
  }
  if (problems.length > 0) return {ok: false, problems};
  return {ok: true, values: values as SettingValues<S>};
}

/** Rows of the printed table of all settings; secrets are masked. */
export function describeSettings(
  specifications: SettingSpecifications,
  inputs: SettingInputs,
): SettingRow[] {
  return Object.entries(specifications).map(([name, specification]) => {
    const {text, source} = findSettingText(name, specification, inputs);
    const isMasked = specification.secret === true && text !== undefined;
    return {
      flag: flagName(name),
      variable: variableName(name),
      value: isMasked ? MASK : (text ?? ''),
      fallback: specification.secret ? '' : (specification.fallback ?? ''),
      unit: specification.unit ?? '',
      source,
      meaning: specification.meaning,
    };
  });
}
