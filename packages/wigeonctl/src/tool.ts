/**
 * Types that all commands share: the ports they use, the output they return and the exit codes.
 */
import { describeFailure, type Failure, type KeyValuePort, type RandomSource, type VmListPort } from '@wigeonlead/protocol'

/** Exit codes, for scripts and build pipelines. */
export enum ExitCode {
  Success = 0,
  /** The command failed and nothing was changed. */
  Failed = 1,
  /** The arguments, the manifest or the settings are invalid; nothing was changed. */
  Invalid = 2,
  /** Another operator's change was accepted instead; this one is not in force. */
  Superseded = 3,
  /** It could not be determined whether the change was accepted. */
  Unknown = 4
}

/** Output of a command: a text for people and a value for `--json`. */
export interface CommandOutput {
  code: ExitCode
  text: string
  value: unknown
}

/** Ports of a command that reads or changes the configuration. */
export interface ToolPorts {
  keyValue: KeyValuePort
  random: RandomSource
  /** Lists the VMs; when absent, the checks that need the list are skipped. */
  vmList?: VmListPort
}

/** Returns the output for invalid arguments. */
export function invalidArguments (faults: string[]): CommandOutput {
  return { code: ExitCode.Invalid, text: faults.join('\n'), value: { ok: false, faults: faults.map(message => ({ at: 'arguments', message })) } }
}

/** Returns the output for a failure before anything was changed. */
export function failureOutput (failure: Failure): CommandOutput {
  const detail = describeFailure(failure)
  return { code: ExitCode.Failed, text: `nothing was changed: ${detail}`, value: { ok: false, failure: detail } }
}
