/**
 * Repeats that peers lend: the loss of one stage falls on the VMs of one failure domain, while the others have their shares unspent.
 */
import { z } from 'zod'
import { pause } from 'wigeonlead'
import type { PeerLink } from '../connection/peer-link.js'
import type { Peers } from './peers.js'
import type { RepeatBudget } from './repeat-budget.js'

/** Takes repeats, own ones or lent ones. */
export interface Repeats {
  noteRequest: (service: string) => void
  /** @returns whether one more send may go out; it is counted. Waits for peers where the own share is spent. */
  take: (service: string) => Promise<boolean>
}

/** Parts of the loans. */
export interface RepeatLoansParts {
  self: string
  budget: RepeatBudget
  peers: Peers
  link: PeerLink
}

const ASK_METHOD = 'repeats-asked'
const TELL_METHOD = 'repeats-lent'
/** Requests that need a repeat at the same moment are asked for together, milliseconds. */
const GATHER_MILLISECONDS = 2
/** Peers answer within so long, milliseconds: a way there and back with a busy processor; short against the pause that callers notice. */
const ANSWER_LIMIT_MILLISECONDS = 30
/** After no peer had any left, none is asked for so long, milliseconds. */
const RETRY_MILLISECONDS = 300
const PEERS_ASKED = 8
/** Each peer is asked for this share of what is needed: some have none, and what is not spent is lost for a window. */
const ASKED_SHARE = 0.4

const messageSchema = z.object({ vm: z.string(), service: z.string(), count: z.number().int().min(1).max(1000) })

/** Starts to lend. */
export function createRepeatLoans (parts: RepeatLoansParts): Repeats {
  const { self, budget, peers, link } = parts
  const waiting = new Map<string, Array<(isLent: boolean) => void>>()
  const failedAt = new Map<string, number>()

  link.on(ASK_METHOD, parameters => {
    const asked = messageSchema.parse(parameters)
    const peer = peers.find(asked.vm)
    if (peer === undefined) return
    const count = budget.lend(asked.service, asked.count)
    if (count > 0) link.notify(peer.address, TELL_METHOD, { vm: self, service: asked.service, count })
  })

  link.on(TELL_METHOD, parameters => {
    const { service, count } = messageSchema.parse(parameters)
    budget.addLoan(service, count)
    const queue = waiting.get(service) ?? []
    while (queue.length > 0 && budget.take(service)) queue.shift()!(true)
  })

  async function borrow (service: string): Promise<boolean> {
    if (performance.now() - (failedAt.get(service) ?? -Infinity) < RETRY_MILLISECONDS) return false
    const queue = waiting.get(service) ?? []
    waiting.set(service, queue)
    const isLent = new Promise<boolean>(resolve => { queue.push(resolve) })
    if (queue.length === 1) void ask(service, queue)
    return await isLent
  }

  async function ask (service: string, queue: Array<(isLent: boolean) => void>): Promise<void> {
    await pause(GATHER_MILLISECONDS)
    const count = Math.max(1, Math.ceil(queue.length * ASKED_SHARE))
    for (const peer of peers.anyOf(PEERS_ASKED)) link.notify(peer.address, ASK_METHOD, { vm: self, service, count })
    await pause(ANSWER_LIMIT_MILLISECONDS)
    if (queue.length > 0) failedAt.set(service, performance.now())
    for (const resolve of queue.splice(0)) resolve(false)
  }

  return {
    noteRequest: budget.noteRequest,
    take: async service => budget.take(service) || await borrow(service)
  }
}
