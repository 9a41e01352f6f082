/**
 * Structured logging through consola: one line of key=value pairs for each
 * event. Values with spaces, quotes or `=` are written as JSON strings.
 */
import * as consola from 'consola/core';
import * as kernel from './kernel.js';
import type * as logOutput from './logoutput.js';

/** Value of a log field; undefined fields are left out. */
export type FieldValue = string | number | boolean | undefined;

/** Writes log events. */
export interface Logger {
  debug(event: string, fields?: Record<string, FieldValue>): void;
  info(event: string, fields?: Record<string, FieldValue>): void;
  warn(event: string, fields?: Record<string, FieldValue>): void;
  error(event: string, fields?: Record<string, FieldValue>): void;
}

/** Kernel contract of the logger. */
export const LOGGER = kernel.contract<Logger>('logger', [
  'debug',
  'info',
  'warn',
  'error',
]);

/** Consola's numeric log levels by name. */
export const LOG_LEVELS = {error: 0, warn: 1, info: 3, debug: 4} as const;

/** Name of a log level. */
export type LogLevel = keyof typeof LOG_LEVELS;

/** Values that are written without quotes. */
const UNQUOTED_VALUE = /^[^\s"=]+$/;

function formatValue(value: FieldValue): string {
  if (typeof value === 'number') return String(value);
  const text = String(value);
  return UNQUOTED_VALUE.test(text) ? text : JSON.stringify(text);
}

/** Formats fields as one line of key=value pairs. */
export function formatFields(fields: Record<string, FieldValue>): string {
  let line = '';
  for (const key in fields) {
    const value = fields[key];
    if (value === undefined) continue;
    if (line !== '') line += ' ';
    line += `${key}=${formatValue(value)}`;
  }
  return line;
}

/** Logger that writes the events of all levels, errors too, to one output. */
export class ConsolaLogger implements Logger {
  private readonly consolaLog: consola.ConsolaInstance;

  /**
   * @param level the least severe level that is written
   * @param baseFields fields added to every event
   * @param destination where lines are written; standard output by default
   */
  constructor(
    level: LogLevel,
    private readonly baseFields: Record<string, FieldValue> = {},
    destination: logOutput.LineOutput = process.stdout,
  ) {
    this.consolaLog = consola.createConsola({
      level: LOG_LEVELS[level],
      throttle: 0,
      reporters: [
        {
          log: entry => {
            destination.write(`${String(entry.args[0])}\n`);
          },
        },
      ],
    });
  }

  debug(event: string, fields: Record<string, FieldValue> = {}): void {
    if (this.consolaLog.level < LOG_LEVELS.debug) return;
    this.consolaLog.debug(this.format('debug', event, fields));
  }

  info(event: string, fields: Record<string, FieldValue> = {}): void {
    if (this.consolaLog.level < LOG_LEVELS.info) return;
    this.consolaLog.info(this.format('info', event, fields));
  }

  warn(event: string, fields: Record<string, FieldValue> = {}): void {
    this.consolaLog.warn(this.format('warn', event, fields));
  }

  error(event: string, fields: Record<string, FieldValue> = {}): void {
    this.consolaLog.error(this.format('error', event, fields));
  }

  private format(
    level: LogLevel,
    event: string,
    fields: Record<string, FieldValue>,
  ): string {
    const time = new Date().toISOString();
    return formatFields({time, level, event, ...this.baseFields, ...fields});
  }
}

/** Logger that discards all events, for tests. */
export class SilentLogger implements Logger {
  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}
}
