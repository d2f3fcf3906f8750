/**
 * A fleet of nodes with real claims modules that share one in-memory key-value store, with injected faults, for tests under a paused
 * clock.
 */
import {
  FailureKind, MemberState, ServiceResult, Step, WriteResult, failed, success,
  type Failure, type MemberEntry, type PeerHandlers, type PeerPort, type ServiceOutcome
} from '@wigeonlead/protocol'
import { KeyValueFault, createKeyValueStore, createMemoryKeyValue, type KeyValueStore } from '@wigeonlead/stand-ins'
import { createSeededRandom } from '../src/process/index.js'
import { createClaims, type Claims, type SendOrder } from '../src/request/claims/index.js'

/** How the target handles the orders that it receives. */
export enum TargetFault {
  None = 'none',
  /** Refuses the connection, so that nothing is sent. */
  Unreachable = 'unreachable',
  /** Runs the order, and its answer is lost. */
  LostAnswer = 'lost-answer',
  /** The order is lost, which its sender can't distinguish from a lost answer. */
  LostOrder = 'lost-order',
  /** Runs the order and answers late. */
  Late = 'late'
}

/** How the connection between two nodes handles a call. */
export enum PeerFault {
  /** The connection is refused. */
  Unreachable = 'unreachable',
  /** The call is handled, and its answer is lost. */
  LostReply = 'lost-reply',
  /** The call is handled twice. */
  Duplicate = 'duplicate',
  /** The call is handled long after the caller's deadline. */
  Delayed = 'delayed'
}

/** One node of the fleet. */
export interface FleetNode {
  address: string
  claims: Claims
  isDead: boolean
  /** Resolves once the node is no longer paused. The node's calls and answers wait for this promise. */
  resumed: Promise<void>
  keyValueFault?: KeyValueFault
  /** Whether the node's writes time out without an answer and take effect later. */
  hasLateWrites?: boolean
  peerFault?: PeerFault
}

/** An order that the target ran. */
export interface LedgerEntry {
  key: string
  /** Number of the submission that ran it, and the count of previous attempts that the submission stated. */
  submission: number
  previousAttempts: number | undefined
}

/** Several nodes, one key-value store, and one target with a ledger of the orders that it ran. */
export interface ClaimFleet {
  nodes: FleetNode[]
  store: KeyValueStore
  /** Orders that the target ran. */
  ledger: LedgerEntry[]
  targetFault: TargetFault
  /** Returns the function that sends an order from a node to the target. */
  sender: (node: FleetNode, order: LedgerEntry) => SendOrder
  kill: (index: number) => void
  pause: (index: number, milliseconds: number) => void
}

const LATE_ANSWER_MILLISECONDS = 20_000
const DELAYED_CALL_MILLISECONDS = 15_000
const CALL_MILLISECONDS = 2
const KEY_VALUE_MILLISECONDS = 5
const LOST_CALL_MILLISECONDS = 1000
const LATE_WRITE_MILLISECONDS = 3000

/** Creates a fleet whose nodes are spread evenly over `domains` failure domains. */
export function createClaimFleet (size: number, seed: number, domains = 1): ClaimFleet {
  const store = createKeyValueStore()
  const nodes: FleetNode[] = []
  const handlers = new Map<FleetNode, PeerHandlers>()
  const members = new Map<FleetNode, MemberEntry>()
  let startedNodes = 0

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
    startedNodes += 1
    const random = createSeededRandom(seed * 1000 + startedNodes)
    const node: FleetNode = { address, isDead: false, resumed: Promise.resolve(), claims: undefined as unknown as Claims }
    const self: MemberEntry = {
      address, vm: address, failureDomain: `domain-${index % domains}`, incarnation: startedNodes, state: MemberState.Alive, generation: 1
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
  if (fault === TargetFault.Late) await sleep(LATE_ANSWER_MILLISECONDS)
  await waitWhilePaused(node)
  if (fault === TargetFault.LostAnswer || fault === TargetFault.LostOrder) {
    return { kind: ServiceResult.Ambiguous, failure: makeFailure(FailureKind.Broken) }
  }
  return { kind: ServiceResult.Answered, answer: { status: 201, headers: {}, body: Buffer.from(order.key) } }
}

function createNodeKeyValue (node: FleetNode, store: KeyValueStore): ReturnType<typeof createMemoryKeyValue> {
  const memoryKeyValue = createMemoryKeyValue(store, {
    fault: () => node.keyValueFault,
    delayMilliseconds: () => node.keyValueFault === undefined ? KEY_VALUE_MILLISECONDS : LOST_CALL_MILLISECONDS
  })
  return {
    ...memoryKeyValue,
    async get (key) {
      await waitWhilePaused(node)
      const outcome = await memoryKeyValue.get(key)
      await waitWhilePaused(node)
      return outcome
    },
    async compareAndSwap (write) {
      await waitWhilePaused(node)
      if (node.hasLateWrites === true) {
        void sleep(LATE_WRITE_MILLISECONDS).then(() => store.compareAndSwap(write))
        await sleep(LOST_CALL_MILLISECONDS)
        await waitWhilePaused(node)
        return { kind: WriteResult.Ambiguous, failure: makeFailure(FailureKind.Broken) }
      }
      const outcome = await memoryKeyValue.compareAndSwap(write)
      await waitWhilePaused(node)
      return outcome
    }
  }
}

function createNodePeers (node: FleetNode, nodes: FleetNode[], handlers: Map<FleetNode, PeerHandlers>): PeerPort {
  return {
    serve: () => {},
    async call (address, method, parameters, deadlineMilliseconds) {
      await waitWhilePaused(node)
      const peer = nodes.find(each => each.address === address)
      const handler = peer === undefined ? undefined : handlers.get(peer)?.[method]
      const fault = node.peerFault ?? peer?.peerFault
      const isReachable = handler !== undefined && fault !== PeerFault.Unreachable
      if (peer === undefined || !isReachable) return failed(makeFailure(FailureKind.Unreachable))
      await sleep(CALL_MILLISECONDS)
      const handle = async (): Promise<never> => {
        if (fault === PeerFault.Delayed) await sleep(DELAYED_CALL_MILLISECONDS)
        await waitWhilePaused(peer)
        const result = await handler(parameters as never, node.address)
        await waitWhilePaused(peer)
        return result as never
      }
      const work = handle().then(result => success(result), () => failed<never>(makeFailure(FailureKind.Refused)))
      if (fault === PeerFault.Duplicate) void handle().catch(() => {})
      const timeout = sleep(deadlineMilliseconds).then(() => failed<never>(makeFailure(FailureKind.Broken)))
      const outcome = fault === PeerFault.LostReply ? await timeout : await Promise.race([work, timeout])
      await waitWhilePaused(node)
      return outcome
    }
  }
}

/** Waits while a node is paused. Never resolves for a dead node. */
async function waitWhilePaused (node: FleetNode): Promise<void> {
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
