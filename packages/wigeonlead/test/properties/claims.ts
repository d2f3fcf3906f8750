/**
 * Property "at most once": checks the outcomes of random sequences of faults in a fleet of real claims modules against the target's
 * ledger of orders that ran.
 */
import fc from 'fast-check'
import { KeyValueFault, withPausedClock, type PausedClock } from '@wigeonlead/stand-ins'
import { ClaimResult, type ClaimOutcome } from '../../src/request/claims/index.js'
import { PeerFault, TargetFault, createClaimFleet, type ClaimFleet, type LedgerEntry } from '../claim-fleet.js'
import type { ProtocolProperty } from './property.js'

enum ActionKind {
  Submit = 'submit',
  Kill = 'kill',
  Pause = 'pause',
  Target = 'target',
  KeyValue = 'key-value',
  LateWrites = 'late-writes',
  Peer = 'peer',
  Wait = 'wait'
}

/** `repeats` is the count of previous attempts of a submission that the balancer repeats; undefined for the caller's next submission. */
type Action =
  | {
    kind: ActionKind.Submit, node: number, key: number, repeats: number | undefined, waitMilliseconds: number, deadlineMilliseconds: number
  }
  | { kind: ActionKind.Kill, node: number }
  | { kind: ActionKind.Pause, node: number, milliseconds: number }
  | { kind: ActionKind.Target, fault: TargetFault }
  | { kind: ActionKind.KeyValue, node: number, fault: KeyValueFault | undefined }
  | { kind: ActionKind.LateWrites, node: number, isOn: boolean }
  | { kind: ActionKind.Peer, node: number, fault: PeerFault | undefined }
  | { kind: ActionKind.Wait, milliseconds: number }

/** One submission and the outcome that its caller received. */
interface SubmissionRecord extends LedgerEntry {
  outcome?: ClaimOutcome
  /** Whether the node died during the submission, so that its caller received no outcome. */
  isLost?: boolean
}

const NODES = 3
const RETENTION_SECONDS = 3600
const DEADLINE_MILLISECONDS = 12_000
const SETTLING_MILLISECONDS = 60_000
/** Keys whose callers count their submissions. */
const COUNTED_KEYS = new Set(['key-0', 'key-1'])

const nodeArbitrary = fc.nat(NODES - 1)
const waitArbitrary = fc.constantFrom(0, 1, 4, 8, 50, 400, 3000, 11_000)
const pauseArbitrary = fc.constantFrom(3, 500, 4000, 14_000)
const targetFaultArbitrary = fc.constantFrom(...Object.values(TargetFault))
const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant(ActionKind.Submit as const),
      node: nodeArbitrary,
      key: fc.nat(2),
      repeats: fc.option(fc.nat(3), { nil: undefined }),
      waitMilliseconds: waitArbitrary,
      deadlineMilliseconds: fc.constantFrom(40, 600, 3000, DEADLINE_MILLISECONDS)
    })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant(ActionKind.Kill as const), node: nodeArbitrary }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant(ActionKind.Pause as const), node: nodeArbitrary, milliseconds: pauseArbitrary }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant(ActionKind.Target as const), fault: targetFaultArbitrary }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant(ActionKind.KeyValue as const),
      node: nodeArbitrary,
      fault: fc.constantFrom(undefined, ...Object.values(KeyValueFault))
    })
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant(ActionKind.LateWrites as const), node: nodeArbitrary, isOn: fc.boolean() }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant(ActionKind.Peer as const), node: nodeArbitrary, fault: fc.constantFrom(undefined, ...Object.values(PeerFault))
    })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant(ActionKind.Wait as const), milliseconds: waitArbitrary }) }
)

/** Sequences that once violated the property, each with its fleet seed and number of failure domains. They run before the random ones. */
const REGRESSIONS: Array<[Action[], number, number]> = [
  [[
    { kind: ActionKind.Pause, node: 0, milliseconds: 500 },
    { kind: ActionKind.Submit, node: 0, key: 1, repeats: undefined, waitMilliseconds: 3000, deadlineMilliseconds: 40 },
    { kind: ActionKind.Submit, node: 0, key: 1, repeats: undefined, waitMilliseconds: 0, deadlineMilliseconds: 3000 },
    { kind: ActionKind.KeyValue, node: 1, fault: KeyValueFault.Unreachable },
    { kind: ActionKind.Submit, node: 0, key: 0, repeats: undefined, waitMilliseconds: 3000, deadlineMilliseconds: 40 },
    { kind: ActionKind.Submit, node: 0, key: 1, repeats: undefined, waitMilliseconds: 0, deadlineMilliseconds: 3000 }
  ], 0, 3]
]

/** An order runs at most once, and no outcome that a caller received becomes false later. */
export const claimsProperty: ProtocolProperty = {
  name: 'claims',
  async check ({ seed, runs }) {
    const property = fc.asyncProperty(fc.array(actionArbitrary, { minLength: 2, maxLength: 16 }), fc.nat(1000), fc.constantFrom(1, NODES),
      (actions, fleetSeed, domains) => withPausedClock(clock => runSequence(clock, actions, createClaimFleet(NODES, fleetSeed, domains))))
    await fc.assert(property, { seed, numRuns: runs, examples: REGRESSIONS })
  }
}

async function runSequence (clock: PausedClock, actions: Action[], fleet: ClaimFleet): Promise<void> {
  const records: SubmissionRecord[] = []
  for (const each of actions) await perform(clock, fleet, records, each)
  fleet.targetFault = TargetFault.None
  for (const node of fleet.nodes) Object.assign(node, { keyValueFault: undefined, peerFault: undefined, hasLateWrites: false })
  await clock.advance(SETTLING_MILLISECONDS)
  submit(fleet, records, 0, { key: 'key-of-the-recovery', deadlineMilliseconds: DEADLINE_MILLISECONDS })
  await clock.advance(DEADLINE_MILLISECONDS)
  const recovery = records.at(-1)
  expect(recovery?.outcome?.kind === ClaimResult.Answered, `after the faults an order is not answered: ${JSON.stringify(recovery)}`)
  for (const record of records) checkOutcome(fleet.ledger, record)
}

async function perform (clock: PausedClock, fleet: ClaimFleet, records: SubmissionRecord[], action: Action): Promise<void> {
  switch (action.kind) {
    case ActionKind.Submit: {
      const key = `key-${action.key}`
      const previousAttempts = COUNTED_KEYS.has(key) ? countPreviousAttempts(records, key, action.repeats) : undefined
      submit(fleet, records, action.node, { key, previousAttempts, deadlineMilliseconds: action.deadlineMilliseconds })
      return await clock.advance(action.waitMilliseconds)
    }
    case ActionKind.Kill: return fleet.kill(action.node)
    case ActionKind.Pause: return fleet.pause(action.node, action.milliseconds)
    case ActionKind.Target: fleet.targetFault = action.fault; return
    case ActionKind.KeyValue: Object.assign(fleet.nodes[action.node] ?? {}, { keyValueFault: action.fault }); return
    case ActionKind.LateWrites: Object.assign(fleet.nodes[action.node] ?? {}, { hasLateWrites: action.isOn }); return
    case ActionKind.Peer: Object.assign(fleet.nodes[action.node] ?? {}, { peerFault: action.fault }); return
    case ActionKind.Wait: return await clock.advance(action.milliseconds)
  }
}

/** @returns the count of previous attempts in a submission: the caller's next count, or an earlier one if the balancer repeats. */
function countPreviousAttempts (records: SubmissionRecord[], key: string, repeats: number | undefined): number {
  const next = Math.max(-1, ...records.filter(each => each.key === key).map(each => each.previousAttempts ?? 0)) + 1
  return repeats === undefined ? next : Math.min(repeats, next)
}

interface Submission {
  key: string
  previousAttempts?: number
  deadlineMilliseconds: number
}

function submit (
  fleet: ClaimFleet, records: SubmissionRecord[], index: number, { key, previousAttempts, deadlineMilliseconds }: Submission
): void {
  const node = fleet.nodes[index] as ClaimFleet['nodes'][number]
  const entry: SubmissionRecord = { key, submission: records.length, previousAttempts }
  records.push(entry)
  const order = {
    workspace: 'desk',
    service: 'orders',
    key,
    requestDigest: 'request',
    retentionSeconds: RETENTION_SECONDS,
    deadlineAt: Date.now() + deadlineMilliseconds,
    previousAttempts
  }
  const { submission } = entry
  void node.claims.run(order, fleet.sender(node, { key, submission, previousAttempts })).then(outcome => {
    entry.isLost = node.isDead
    if (!node.isDead) entry.outcome = outcome
  })
}

/** Compares the outcome that a caller received with the ledger, after all calls have ended. */
function checkOutcome (ledger: LedgerEntry[], record: SubmissionRecord): void {
  const ran = ledger.filter(entry => entry.key === record.key)
  const details = JSON.stringify({ record, ran })
  expect(ran.length <= 1, `run more than once: ${details}`)
  if (record.outcome === undefined) {
    expect(record.isLost === true, `no outcome was returned: ${details}`)
    return
  }
  const ranThisSubmission = ran.some(entry => entry.submission === record.submission)
  const { outcome } = record
  switch (outcome.kind) {
    case ClaimResult.Answered:
      expect(ran.length === 1 && Buffer.from(outcome.answer.body).toString() === record.key, `answered and not run: ${details}`)
      break
    case ClaimResult.NotRun:
    case ClaimResult.FencedOff: {
      const isFenced = (entry: LedgerEntry): boolean => (entry.previousAttempts ?? 0) <= (record.previousAttempts ?? Infinity)
      expect(!ran.some(isFenced), `reported as not run, and run: ${details}`)
      break
    }
    case ClaimResult.NotSent:
    case ClaimResult.Unavailable: expect(!ranThisSubmission, `reported as not sent, and run by this submission: ${details}`); break
    case ClaimResult.Uncertain: expect(outcome.wasSent || !ranThisSubmission, `reported as not sent, and run by this submission: ${details}`); break
    default: expect(false, `an outcome that none of the submissions can have: ${details}`)
  }
}

function expect (condition: boolean, message: string): void {
  if (!condition) throw new Error(message)
}
