/**
 * `wigeonctl check`: checks a whole manifest and lists all of its faults.
 */
import { checkManifestText, type Manifest } from '@wigeonlead/protocol'
import { ExitCode, type CommandOutput } from '../tool.js'

/** Checks the text of a manifest. */
export function checkCommand (text: string): CommandOutput {
  const check = checkManifestText(text)
  if (!check.ok) return invalidManifest(check.faults)
  return { code: ExitCode.Success, text: `the manifest is valid: ${describeManifest(check.manifest)}`, value: { ok: true } }
}

/** Returns the output for an invalid manifest. */
export function invalidManifest (faults: Array<{ at: string, message: string }>): CommandOutput {
  return { code: ExitCode.Invalid, text: faults.map(fault => `${fault.at}: ${fault.message}`).join('\n'), value: { ok: false, faults } }
}

function describeManifest (manifest: Manifest): string {
  const { models, targets, services, workspaces } = manifest
  return [formatCount(models, 'model'), formatCount(targets, 'target'), formatCount(services, 'service'), formatCount(workspaces, 'workspace')].join(', ')
}

function formatCount (items: unknown[], name: string): string {
  return `${items.length} ${name}${items.length === 1 ? '' : 's'}`
}
