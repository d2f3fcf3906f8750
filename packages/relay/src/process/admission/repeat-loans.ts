/**
 * Borrows repeats from peers. When a stage is lost, only the VMs of one failure domain need repeats, while the others have unused
 * ones.
 */
import { z } from 'zod'
import { pause } from 'wigeonlead'
import type { PeerLink } from '../../connection/peer-link.js'
import type { Peers } from '../membership/peers.js'
import type { RepeatBudget } from './repeat-budget.js'

/** Grants repeats from the budget of this process or from loans of peers. */
export interface Repeats {
  recordRequest: (service: string) => void
  /**
   * Waits for loans of peers if the budget is used up, except during the cooldown after they did not lend enough.
   * @returns whether one more send is allowed; if so, it is counted.
   */
  take: (service: string) => Promise<boolean>
}

/** Dependencies of the loans. */
export interface RepeatLoansDependencies {
  ownVm: string
  budget: RepeatBudget
  peers: Peers
  link: PeerLink
}

const REQUEST_METHOD = 'repeats-asked'
const GRANT_METHOD = 'repeats-lent'
/** How long needed repeats are collected before peers are asked for all of them together, milliseconds. */
const BATCH_MILLISECONDS = 2
/**
 * Timeout for answers of peers, milliseconds: enough for a round trip to a VM whose processor is busy, and short compared with a pause
 * that callers notice.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 30
/** Cooldown after peers did not lend enough repeats, milliseconds. */
const RETRY_COOLDOWN_MILLISECONDS = 300
const PEER_FANOUT = 8
/**
 * Share of the needed repeats that is requested from each peer. All peers together are asked for more than is needed, because some have
 * none left; but not for much more, because repeats that are lent and not spent are lost for a window.
 */
const REQUESTED_SHARE = 0.4

const messageSchema = z.object({ vm: z.string(), service: z.string(), count: z.number().int().min(1).max(1000) })

/** Creates a borrower of repeats, and starts to lend repeats to peers on request. */
export function createRepeatLoans (dependencies: RepeatLoansDependencies): Repeats {
  const { ownVm, budget, peers, link } = dependencies
  const waiting = new Map<string, Array<(isGranted: boolean) => void>>()
  const failedAt = new Map<string, number>()

  link.on(REQUEST_METHOD, parameters => {
    const request = messageSchema.parse(parameters)
    const peer = peers.find(request.vm)
    if (peer === undefined) return
    const count = budget.lend(request.service, request.count)
    if (count > 0) link.notify(peer.address, GRANT_METHOD, { vm: ownVm, service: request.service, count })
  })

  link.on(GRANT_METHOD, parameters => {
    const { service, count } = messageSchema.parse(parameters)
    budget.addLoan(service, count)
    const queue = waiting.get(service) ?? []
    while (queue.length > 0 && budget.take(service)) queue.shift()!(true)
  })

  async function borrow (service: string): Promise<boolean> {
    if (performance.now() - (failedAt.get(service) ?? -Infinity) < RETRY_COOLDOWN_MILLISECONDS) return false
    const queue = waiting.get(service) ?? []
    waiting.set(service, queue)
    const isGranted = new Promise<boolean>(resolve => { queue.push(resolve) })
    if (queue.length === 1) void requestLoans(service, queue)
    return await isGranted
  }

  async function requestLoans (service: string, queue: Array<(isGranted: boolean) => void>): Promise<void> {
    await pause(BATCH_MILLISECONDS)
    const count = Math.max(1, Math.ceil(queue.length * REQUESTED_SHARE))
    for (const peer of peers.sample(PEER_FANOUT)) link.notify(peer.address, REQUEST_METHOD, { vm: ownVm, service, count })
    await pause(ANSWER_TIMEOUT_MILLISECONDS)
    if (queue.length > 0) failedAt.set(service, performance.now())
    for (const resolve of queue.splice(0)) resolve(false)
  }

  return {
    recordRequest: budget.recordRequest,
    take: async service => budget.take(service) || await borrow(service)
  }
}
