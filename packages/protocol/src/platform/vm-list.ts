/**
 * The port for the platform's VM list. The list lags behind the actual state of the VMs.
 */
import { z } from 'zod'
import type { Outcome } from '../failure.js'

/** Whether a VM is in service, or the platform is about to remove it. */
export enum VmState {
  Live = 'live',
  Leaving = 'leaving'
}

/** Shape of one entry of the VM list. */
export const vmEntrySchema = z.object({
  name: z.string(),
  /** IP address without a port. */
  address: z.string(),
  failureDomain: z.string(),
  state: z.enum(VmState),
  /** Port of the listener for peers on entry VMs; absent for VMs of targets. */
  peerPort: z.number().int().optional()
})

/** One VM in the platform's list. */
export type VmEntry = z.infer<typeof vmEntrySchema>

/** Reads the platform's VM list. */
export interface VmListPort {
  list: () => Promise<Outcome<VmEntry[]>>
}
