/**
 * Admission: whether a request may start now.
 */
import { success, type ManifestWorkspace, type Outcome } from '@wigeonlead/protocol'

/** What is asked for at admission. */
export interface AdmissionRequest {
  workspace: ManifestWorkspace
  /** Model or service. */
  resource: string
  priority: number
  deadlineAt: number
  signal: AbortSignal
}

/** A request that was let in. */
export interface AdmissionTicket {
  release: () => void
}

/** Lets requests in. */
export interface Admission {
  admit: (request: AdmissionRequest) => Promise<Outcome<AdmissionTicket>>
}

/** Makes an admission that lets everything in at once. */
export function createAdmission (): Admission {
  return { admit: async () => success({ release: () => {} }) }
}
