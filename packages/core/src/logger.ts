/**
 * Logs: one line of key=value pairs for each event, through consola.
 * Values with spaces or quotes are written as JSON strings.
 */
import * as consola from 'consola/core';
import * as kernel from './kernel.js';
import type * as output from './output.js';

/** What a field of an event may hold. */
export type Field = string | number | boolean | undefined;

/** Writer of events. */
export interface Logger {
  debug(event: string, fields?: Record<string, Field>): void;
  info(event: string, fields?: Record<string, Field>): void;
  warn(event: string, fields?: Record<string, Field>): void;
  error(event: string, fields?: Record<string, Field>): void;
}

/** The contract under which the logger is registered. */
export const LOGGER = kernel.contract<Logger>('logger', [
  'debug',
  'info',
  'warn',
  'error',
]);

/** Levels by name, as consola numbers them. */
export const LOG_LEVELS = {error: 0, warn: 1, info: 3, debug: 4} as const;

/** Name of a level. */
export type LogLevel = keyof typeof LOG_LEVELS;

const PLAIN = /^[^\s"=]+$/;

function print(value: Field): string {
  const text = String(value);
  return PLAIN.test(text) ? text : JSON.stringify(text);
}

/** Formats an event as one line of key=value pairs. */
export function line(fields: Record<string, Field>): string {
  return Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${print(value)}`)
    .join(' ');
}

/** Writes events to standard output, errors and warnings included. */
export class ConsolaLogger implements Logger {
  private readonly out: consola.ConsolaInstance;

  /**
   * @param base fields that every event carries
   * @param lines where lines go; by default to the process's standard output
   */
  constructor(
    level: LogLevel,
    private readonly base: Record<string, Field> = {},
    lines: output.LineOutput = process.stdout,
  ) {
    this.out = consola.createConsola({
      level: LOG_LEVELS[level],
      throttle: 0,
      reporters: [
        {
          log: entry => {
            lines.write(`${String(entry.args[0])}\n`);
          },
        },
      ],
    });
  }

  debug(event: string, fields: Record<string, Field> = {}): void {
    if (this.out.level < LOG_LEVELS.debug) return;
    this.out.debug(this.format('debug', event, fields));
  }

  info(event: string, fields: Record<string, Field> = {}): void {
    if (this.out.level < LOG_LEVELS.info) return;
    this.out.info(this.format('info', event, fields));
  }

  warn(event: string, fields: Record<string, Field> = {}): void {
    this.out.warn(this.format('warn', event, fields));
  }

  error(event: string, fields: Record<string, Field> = {}): void {
    this.out.error(this.format('error', event, fields));
  }

  private format(
    level: LogLevel,
    event: string,
    fields: Record<string, Field>,
  ): string {
    const time = new Date().toISOString();
    return line({time, level, event, ...this.base, ...fields});
  }
}

/** Drops every event; for tests. */
export class SilentLogger implements Logger {
  debug(): void {}
  info(): void {}
  warn(): void {}
  error(): void {}
}
