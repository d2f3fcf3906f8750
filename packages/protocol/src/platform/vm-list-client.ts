/**
 * HTTP adapter for the VM list port: `GET /v1/vms` answers `{ "vms": [...] }`.
 */
import { z } from 'zod'
import { Step, success } from '../failure.js'
import { callJson } from './http-json.js'
import { vmEntrySchema, type VmListPort } from './vm-list.js'

const LIST_DEADLINE_MILLISECONDS = 2000
const listSchema = z.object({ vms: z.array(vmEntrySchema) })

/**
 * Creates a client of the platform's VM list.
 * @param endpoint base address, `http://host:port`.
 * @param deadlineMilliseconds deadline of one call, milliseconds; 2,000 ms by default.
 */
export function createVmListClient (endpoint: string, deadlineMilliseconds = LIST_DEADLINE_MILLISECONDS): VmListPort {
  return {
    async list () {
      const outcome = await callJson(
        `${endpoint}/v1/vms`, undefined, listSchema, Step.VmList, deadlineMilliseconds, { method: 'GET' }
      )
      return outcome.ok ? success(outcome.value.vms) : outcome
    }
  }
}
