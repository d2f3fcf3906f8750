/**
 * Placement rules of the manifest: the failure domains in which a workspace may be served.
 */
import type { ManifestWorkspace } from '@wigeonlead/protocol'

/** Tells whether a workspace may be served in a failure domain. A workspace that lists no failure domains may be served in all of them. */
export function isServedIn (workspace: Pick<ManifestWorkspace, 'failureDomains'>, failureDomain: string): boolean {
  return workspace.failureDomains === undefined || workspace.failureDomains.includes(failureDomain)
}
