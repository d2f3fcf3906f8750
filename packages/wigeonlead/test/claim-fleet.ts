/**
 * Several real claims modules over one store in memory, with faults, for tests under a paused clock.
 */
import {
  FailureKind, MemberState, ServiceResult, Step, WriteResult, failed, success,
  type Failure, type MemberEntry, type PeerHandlers, type PeerPort, type ServiceOutcome
} from '@wigeonlead/protocol'
import { KeyValueFault, createKeyValueStore, createMemoryKeyValue, type KeyValueStore } from '@wigeonlead/stand-ins'
import { createSeededRandom } from '../src/process/index.js'
import { createClaims, type Claims, type SendOrder } from '../src/request/claims/index.js'

/** How the target deals with the next order that reaches it. */
export enum TargetFault {
  None = 'none',
  /** No connection, so that nothing is sent. */
  Unreachable = 'unreachable',
  /** Runs the order and loses the answer. */
  LostAnswer = 'lost-answer',
  /** Loses the order, which its sender can't tell from a lost answer. */
  LostOrder = 'lost-order',
  /** Runs the order and answers late. */
  Late = 'late'
}

/** How the way between two nodes deals with a call. */
export enum PeerFault {
  /** No connection. */
  Unreachable = 'unreachable',
  /** Handled, and the answer is lost. */
  LostReply = 'lost-reply',
  /** Handled twice. */
  Duplicate = 'duplicate',
  /** Handled long after the caller has given up. */
  Delayed = 'delayed'
}

/** One node of the fleet. */
export interface FleetNode {
  address: string
  claims: Claims
  isDead: boolean
  /** A paused node's calls and answers wait until it goes on. */
  resumed: Promise<void>
  keyValueFault?: KeyValueFault
  /** The node's writes are answered by nothing and take effect long after. */
  hasLateWrites?: boolean
  peerFault?: PeerFault
}

/** An order that really ran. */
export interface LedgerEntry {
  key: string
  /** The submission that ran it, and the count of previous attempts that it stated. */
  submission: number
  previousAttempts: number | undefined
}

/** Several nodes, one store and one target with its ledger. */
export interface ClaimFleet {
  nodes: FleetNode[]
  store: KeyValueStore
  /** Orders that really ran. */
  ledger: LedgerEntry[]
  targetFault: TargetFault
  /** Makes what sends an order from a node to the target. */
  sender: (node: FleetNode, order: LedgerEntry) => SendOrder
  kill: (index: number) => void
  pause: (index: number, milliseconds: number) => void
}

const LATE_MILLISECONDS = 20_000
const DELAYED_MILLISECONDS = 15_000
const CALL_MILLISECONDS = 2
const KEY_VALUE_MILLISECONDS = 5
const LOST_MILLISECONDS = 1000
const LATE_WRITE_MILLISECONDS = 3000

/** Makes a fleet in which every node has a failure domain of its own where `domains` says so. */
export function createClaimFleet (size: number, seed: number, domains = 1): ClaimFleet {
  const store = createKeyValueStore()
  const nodes: FleetNode[] = []
  const handlers = new Map<FleetNode, PeerHandlers>()
  const members = new Map<FleetNode, MemberEntry>()
  let starts = 0

  const fleet: ClaimFleet = {
    nodes,
    store,
    ledger: [],
    targetFault: TargetFault.None,
    sender: (node, order) => maySend => sendOrder(fleet, node, order, maySend),
    kill (index) {
      const node = nodes[index]
      if (node === undefined) return
      node.isDead = true
      nodes[index] = start(node.address, index)
    },
    pause (index, milliseconds) {
      const node = nodes[index]
      if (node !== undefined) node.resumed = sleep(milliseconds)
    }
  }

  function start (address: string, index: number): FleetNode {
    starts += 1
    const random = createSeededRandom(seed * 1000 + starts)
    const node: FleetNode = { address, isDead: false, resumed: Promise.resolve(), claims: undefined as unknown as Claims }
    const self: MemberEntry = {
      address, vm: address, failureDomain: `domain-${index % domains}`, incarnation: starts, state: MemberState.Alive, generation: 1
    }
    members.set(node, self)
    node.claims = createClaims({
      keyValue: createNodeKeyValue(node, store),
      peers: createNodePeers(node, nodes, handlers),
      random,
      self: () => self,
      members: () => nodes.map(each => members.get(each) as MemberEntry)
    })
    handlers.set(node, node.claims.handlers)
    return node
  }

  for (let index = 0; index < size; index += 1) nodes.push(start(`127.0.0.1:${9001 + index}`, index))
  return fleet
}

async function sendOrder (
  fleet: ClaimFleet, node: FleetNode, order: LedgerEntry, maySend: () => boolean
): Promise<ServiceOutcome> {
  if (!maySend()) return { kind: ServiceResult.NotSent, failure: makeFailure(FailureKind.Aborted) }
  const fault = fleet.targetFault
  if (node.isDead) return await never()
  await sleep(CALL_MILLISECONDS)
  if (fault === TargetFault.Unreachable) return { kind: ServiceResult.NotSent, failure: makeFailure(FailureKind.Unreachable) }
  if (fault !== TargetFault.LostOrder) fleet.ledger.push(order)
  if (fault === TargetFault.Late) await sleep(LATE_MILLISECONDS)
  await comeBack(node)
  if (fault === TargetFault.LostAnswer || fault === TargetFault.LostOrder) {
    return { kind: ServiceResult.Ambiguous, failure: makeFailure(FailureKind.Broken) }
  }
  return { kind: ServiceResult.Answered, answer: { status: 201, headers: {}, body: Buffer.from(order.key) } }
}

function createNodeKeyValue (node: FleetNode, store: KeyValueStore): ReturnType<typeof createMemoryKeyValue> {
  const direct = createMemoryKeyValue(store, {
    fault: () => node.keyValueFault,
    delayMilliseconds: () => node.keyValueFault === undefined ? KEY_VALUE_MILLISECONDS : LOST_MILLISECONDS
  })
  return {
    ...direct,
    async get (key) {
      await comeBack(node)
      const outcome = await direct.get(key)
      await comeBack(node)
      return outcome
    },
    async compareAndSwap (write) {
      await comeBack(node)
      if (node.hasLateWrites === true) {
        void sleep(LATE_WRITE_MILLISECONDS).then(() => store.compareAndSwap(write))
        await sleep(LOST_MILLISECONDS)
        await comeBack(node)
        return { kind: WriteResult.Ambiguous, failure: makeFailure(FailureKind.Broken) }
      }
      const outcome = await direct.compareAndSwap(write)
      await comeBack(node)
      return outcome
    }
  }
}

function createNodePeers (node: FleetNode, nodes: FleetNode[], handlers: Map<FleetNode, PeerHandlers>): PeerPort {
  return {
    serve: () => {},
    async call (address, method, parameters, deadlineMilliseconds) {
      await comeBack(node)
      const peer = nodes.find(each => each.address === address)
      const handler = peer === undefined ? undefined : handlers.get(peer)?.[method]
      const fault = node.peerFault ?? peer?.peerFault
      const isReachable = handler !== undefined && fault !== PeerFault.Unreachable
      if (peer === undefined || !isReachable) return failed(makeFailure(FailureKind.Unreachable))
      await sleep(CALL_MILLISECONDS)
      const handle = async (): Promise<never> => {
        if (fault === PeerFault.Delayed) await sleep(DELAYED_MILLISECONDS)
        await comeBack(peer)
        const result = await handler(parameters as never, node.address)
        await comeBack(peer)
        return result as never
      }
      const work = handle().then(result => success(result), () => failed<never>(makeFailure(FailureKind.Refused)))
      if (fault === PeerFault.Duplicate) void handle().catch(() => {})
      const late = sleep(deadlineMilliseconds).then(() => failed<never>(makeFailure(FailureKind.Broken)))
      const outcome = fault === PeerFault.LostReply ? await late : await Promise.race([work, late])
      await comeBack(node)
      return outcome
    }
  }
}

/** Waits while a node is paused; a dead node never comes back. */
async function comeBack (node: FleetNode): Promise<void> {
  await node.resumed
  if (node.isDead) await never()
}

function makeFailure (kind: FailureKind.Aborted | FailureKind.Unreachable | FailureKind.Broken | FailureKind.Refused): Failure {
  return { kind, step: Step.Peer, peer: 'memory', detail: kind }
}

function never<T> (): Promise<T> {
  return new Promise(() => {})
}

function sleep (milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}
