/**
 * What every command gets and gives: its outside contacts, what it prints, and its exit code.
 */
import { describeFailure, type Failure, type KeyValuePort, type RandomSource, type VmListPort } from '@wigeonlead/protocol'

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

/** Outside contacts of a command that changes the configuration. */
export interface ToolPorts {
  keyValue: KeyValuePort
  random: RandomSource
  /** Shows which VMs there are; what depends on it is left unchecked when absent. */
  vmList?: VmListPort
}

/** @returns the output for faulty arguments. */
export function faultyArguments (faults: string[]): CommandOutput {
  return { code: ExitCode.Faulty, text: faults.join('\n'), value: { ok: false, faults: faults.map(message => ({ at: 'arguments', message })) } }
}

/** @returns the output for a failure before anything was changed. */
export function failedOutput (failure: Failure): CommandOutput {
  const detail = describeFailure(failure)
  return { code: ExitCode.Failed, text: `nothing was changed: ${detail}`, value: { ok: false, failure: detail } }
}
