/**
 * Settings from flags and environment variables, checked by one schema.
 *
 * A program lists its settings as specifications; the schema, the flags, the
 * variables and the printed table all come from that list. A flag goes before
 * a variable, a variable before the default.
 */
import * as v from 'valibot';

const ENV_PREFIX = 'OLEANDER_';
const MASK = '********';

/** Variables of the operators' commands, which one shell may hold as well. */
const OPERATOR_VARIABLES = ['OLEANDER_ADMIN_ADDRESS', 'OLEANDER_OPERATOR'];

/** What is known of one setting. */
export interface Specification {
  /** Schema from the written text to the value. */
  readonly schema: v.GenericSchema<string, unknown>;
  /** Text used where neither flag nor variable is given; absent: required. */
  readonly fallback?: string;
  /** Unit of the value, for the printed table. */
  readonly unit?: string;
  readonly meaning: string;
  /** A secret is masked wherever settings are printed. */
  readonly secret?: boolean;
}

/** Specifications by setting name, in camel case. */
export type Specifications = Readonly<Record<string, Specification>>;

/** The values of a list of specifications. */
export type Values<S extends Specifications> = {
  readonly [K in keyof S]: v.InferOutput<S[K]['schema']>;
};

/** Where a value came from. */
export type Source = 'flag' | 'environment' | 'default';

/** One row of the printed table of settings. */
export interface SettingLine {
  readonly flag: string;
  readonly variable: string;
  readonly value: string;
  readonly fallback: string;
  readonly unit: string;
  readonly source: Source | 'missing';
  readonly meaning: string;
}

/** Settings that were read, or the lines that say what is wrong. */
export type Loaded<S extends Specifications> =
  | {readonly ok: true; readonly values: Values<S>}
  | {readonly ok: false; readonly problems: string[]};

/** Text that holds a whole number within bounds. */
export function wholeNumber(min: number, max: number) {
  return v.pipe(
    v.string(),
    v.regex(/^-?\d+$/, 'must be a whole number'),
    v.transform(Number),
    v.minValue(min, `must be at least ${min}`),
    v.maxValue(max, `must be at most ${max}`),
  );
}

/** Text of at least `min` characters. */
export function text(min = 1) {
  return v.pipe(
    v.string(),
    v.minLength(min, `must have at least ${min} characters`),
  );
}

/** One of a list of words. */
export function word<const T extends readonly string[]>(words: T) {
  return v.pipe(v.string(), v.picklist(words));
}

/** The flag of a setting: `entryPort` is `--entry-port`. */
export function flagName(name: string): string {
  return `--${name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`;
}

/** The variable of a setting: `entryPort` is `OLEANDER_ENTRY_PORT`. */
export function variableName(name: string): string {
  const snake = name.replace(/[A-Z]/g, letter => `_${letter}`);
  return ENV_PREFIX + snake.toUpperCase();
}

/** What a setting is read from. */
export interface SettingInputs {
  /** Values of the flags that were given, by setting name. */
  readonly flags: Readonly<Record<string, string | undefined>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
}

function pick(
  name: string,
  specification: Specification,
  inputs: SettingInputs,
): {text: string | undefined; source: Source | 'missing'} {
  const flag = inputs.flags[name];
  if (flag !== undefined) return {text: flag, source: 'flag'};
  const variable = inputs.environment[variableName(name)];
  if (variable !== undefined) return {text: variable, source: 'environment'};
  if (specification.fallback === undefined) {
    return {text: undefined, source: 'missing'};
  }
  return {text: specification.fallback, source: 'default'};
}

function check(
  name: string,
  specification: Specification,
  inputs: SettingInputs,
): {value: unknown} | {problem: string} {
  const {text, source} = pick(name, specification, inputs);
  const names = `${flagName(name)} (${variableName(name)})`;
  if (text === undefined) return {problem: `${names} is required`};
  const parsed = v.safeParse(specification.schema, text);
  if (parsed.success) return {value: parsed.output};
  const shown = specification.secret ? '' : `: ${JSON.stringify(text)}`;
  const cause = parsed.issues[0].message;
  return {problem: `${names} from ${source}${shown}: ${cause}`};
}

/** Reads and checks all settings. */
export function loadSettings<S extends Specifications>(
  specifications: S,
  inputs: SettingInputs,
): Loaded<S> {
  const values: Record<string, unknown> = {};
  const problems: string[] = [];
  for (const [name, specification] of Object.entries(specifications)) {
    const checked = check(name, specification, inputs);
    if ('problem' in checked) problems.push(checked.problem);
    else values[name] = checked.value;
  }
  const known = Object.keys(specifications).map(variableName);
  for (const variable of Object.keys(inputs.environment)) {
    if (!variable.startsWith(ENV_PREFIX)) continue;
    if ([...known, ...OPERATOR_VARIABLES].includes(variable)) continue;
    problems.push(`${variable} is not known; unset it or mend its name`);
  }
  if (problems.length > 0) return {ok: false, problems};
  return {ok: true, values: values as Values<S>};
}

/** The settings as a table, secrets masked. */
export function describeSettings(
  specifications: Specifications,
  inputs: SettingInputs,
): SettingLine[] {
  return Object.entries(specifications).map(([name, specification]) => {
    const {text, source} = pick(name, specification, inputs);
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
