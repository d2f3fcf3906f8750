/**
 * What every command gets and gives: where to write, the platform, and an exit code.
 */
import type { KeyValuePort, RandomSource } from '@wigeonlead/protocol'

/** Exit codes for build pipelines. */
export enum ExitCode {
  Done = 0,
  /** The command failed and nothing was changed. */
  Failed = 1,
  /** The arguments, the manifest or the settings are faulty; nothing was changed. */
  Faulty = 2,
  /** Another operator's change won; this one is not in force. */
  Superseded = 3,
  /** Whether the change was accepted could not be learnt. */
  Unknown = 4
}

/** What a command prints: a text for people and a value for `--json`. */
export interface CommandOutput {
  code: ExitCode
  text: string
  value: unknown
}

/** Outside contacts of a command. */
export interface ToolPorts {
  keyValue: KeyValuePort
  random: RandomSource
}
