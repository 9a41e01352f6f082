/** The command-line program and its commands. */
import * as clipanion from 'clipanion';
import * as apply from './apply.js';
import * as audit from './audit.js';
import * as check from './check.js';
import * as drain from './drain.js';
import * as results from './results.js';
import * as get from './get.js';
import * as list from './list.js';
import * as remove from './remove.js';
import * as set from './set.js';
import * as status from './status.js';
import * as usage from './usage.js';
import * as where from './where.js';
import * as why from './why.js';

/** Name of the program. */
export const PROGRAM_NAME = 'oleanderctl';

const COMMANDS = [
  list.ListCommand,
  get.GetCommand,
  set.SetCommand,
  remove.RemoveCommand,
  apply.ApplyCommand,
  check.CheckCommand,
  status.StatusCommand,
  audit.AuditCommand,
  why.WhyCommand,
  where.WhereCommand,
  usage.UsageCommand,
  drain.DrainRouterCommand,
  drain.DrainEndpointCommand,
];

/** Creates the command-line interface with all commands. */
export function createCli(): clipanion.Cli {
  const cli = new clipanion.Cli({
    binaryName: PROGRAM_NAME,
    binaryLabel: `administration of a router fleet (${results.EXIT_CODES_HELP})`,
    enableColors: Boolean(process.stdout.isTTY),
  });
  for (const command of COMMANDS) cli.register(command);
  cli.register(clipanion.Builtins.HelpCommand);
  return cli;
}
