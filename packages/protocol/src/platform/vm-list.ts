/**
 * The port of the platform's VM list, which lags behind what it shows.
 */
import { z } from 'zod'
import type { Outcome } from '../failure.js'

/** Whether the platform keeps a VM or is about to take it away. */
export enum VmState {
  Live = 'live',
  Leaving = 'leaving'
}

/** Shape of one line of the VM list. */
export const vmEntrySchema = z.object({
  name: z.string(),
  /** IP number without a port. */
  address: z.string(),
  failureDomain: z.string(),
  state: z.enum(VmState),
  /** Port of the peers' listener on entry VMs; absent on the targets' VMs. */
  peerPort: z.number().int().optional()
})

/** One VM as the platform lists it. */
export type VmEntry = z.infer<typeof vmEntrySchema>

/** The platform's VM list. */
export interface VmListPort {
  list: () => Promise<Outcome<VmEntry[]>>
}
