/**
 * Queries the operators' listeners of all entry VMs concurrently.
 */
import type { z } from 'zod'
import { Step, describeFailure, callJson, type Outcome, type VmListPort } from '@wigeonlead/protocol'

/** The entry VMs to query and the token to use. */
export interface RouterQuery {
  /** Addresses of operators' listeners, `host:port`. */
  addresses: string[]
  token: string
}

/** The answer of one entry VM, or why it could not be reached. */
export type RouterAnswer<T> = { address: string, value: T } | { address: string, unreachable: string }

const CALL_DEADLINE_MILLISECONDS = 3000
/** How many entry VMs are queried at the same time. */
const MAX_CONCURRENT_CALLS = 32

/** Reads one path, such as `/status`, from every entry VM. Returns the answers in the order of the addresses. */
export async function queryRouters<T> (query: RouterQuery, path: string, schema: z.ZodType<T>): Promise<Array<RouterAnswer<T>>> {
  const answers: Array<RouterAnswer<T>> = []
  let next = 0
  async function runWorker (): Promise<void> {
    while (next < query.addresses.length) {
      const index = next++
      const address = query.addresses[index] ?? ''
      answers[index] = await queryRouter(address, query.token, path, schema)
    }
  }
  await Promise.all(Array.from({ length: MAX_CONCURRENT_CALLS }, runWorker))
  return answers
}

/**
 * Returns the operators' listeners of the entry VMs in the VM list. VMs with a peer port are entry VMs.
 * @param port the operators' port, the same on every entry VM.
 */
export async function findRouters (vmList: VmListPort, port: number): Promise<Outcome<string[]>> {
  const listed = await vmList.list()
  if (!listed.ok) return listed
  const entries = listed.value.filter(vm => vm.peerPort !== undefined)
  return { ok: true, value: entries.map(vm => `${vm.address.includes(':') ? `[${vm.address}]` : vm.address}:${port}`) }
}

async function queryRouter<T> (address: string, token: string, path: string, schema: z.ZodType<T>): Promise<RouterAnswer<T>> {
  const headers = { authorization: `Bearer ${token}` }
  const outcome = await callJson(`http://${address}${path}`, undefined, schema, Step.Peer, CALL_DEADLINE_MILLISECONDS, { method: 'GET', headers })
  return outcome.ok ? { address, value: outcome.value } : { address, unreachable: describeFailure(outcome.failure) }
}
