/**
 * Properties of the attempt ledger for random outcomes of sends: a request that must not be repeated never runs twice, and is never
 * reported as not run if it has run. Hand-overs are modelled with a ledger for each peer, reports that are lost, and peers that go on after
 * their report.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { SendState, createAttemptLedger, type AttemptLedger } from '../../src/request/ledger.js'

const RUNS = 2000
const SEED = 20261204

/** Final state of one send, and whether the target in fact ran the request, which the state does not always show. */
const SEND_OUTCOME = fc.oneof(
  fc.record({ state: fc.constant(SendState.NotSent), ran: fc.constant(false) }),
  fc.record({ state: fc.constant(SendState.ReportedNotRun), ran: fc.constant(false) }),
  fc.record({ state: fc.constant(SendState.MayHaveRun), ran: fc.boolean() }),
  fc.record({ state: fc.constant(SendState.Sent), ran: fc.boolean() })
)
const SENDS = fc.array(fc.record({ outcome: SEND_OUTCOME, target: fc.integer({ min: 1, max: 4 }) }), { maxLength: 12 })

const ledger = suite('attempt ledger')

ledger('a request that must not be repeated runs at most once, and is reported as not run only if it has not run', () => {
  fc.assert(fc.property(SENDS, fc.integer({ min: 1, max: 4 }), (sends, maximumTargets) => {
    const attempts = createAttemptLedger(false, maximumTargets)
    let runs = 0
    for (const { outcome, target } of sends) {
      if (!attempts.maySendAgain()) break
      if (attempts.allowedTargets(() => false)?.has(String(target)) === false) continue
      attempts.begin(String(target)).state = outcome.state
      if (outcome.ran) runs += 1
    }
    assert.ok(runs <= 1)
    if (attempts.isCertainlyNotRun()) assert.is(runs, 0)
  }), { numRuns: RUNS, seed: SEED })
})

ledger('a request that may be repeated reaches at most the maximum number of targets', () => {
  fc.assert(fc.property(SENDS, fc.integer({ min: 1, max: 4 }), (sends, maximumTargets) => {
    const attempts = createAttemptLedger(true, maximumTargets)
    const reached = new Set<number>()
    for (const { outcome, target } of sends) {
      if (!attempts.maySendAgain()) break
      if (attempts.allowedTargets(() => false)?.has(String(target)) === false) continue
      attempts.begin(String(target)).state = outcome.state
      if (outcome.state !== SendState.NotSent) reached.add(target)
    }
    assert.ok(reached.size <= maximumTargets)
  }), { numRuns: RUNS, seed: SEED })
})

ledger('an incarnation that is gone does not count against the maximum number of targets', () => {
  const attempts = createAttemptLedger(true, 1)
  attempts.begin('a').state = SendState.MayHaveRun
  assert.equal([...attempts.allowedTargets(() => false)!], ['a'])
  assert.is(attempts.allowedTargets(incarnation => incarnation === 'a'), undefined)
})

ledger('a request that must not be repeated is not sent again while a send is in flight', () => {
  const attempts = createAttemptLedger(false, 3)
  attempts.begin('a').state = SendState.Sent
  assert.not(attempts.maySendAgain())
  assert.not(attempts.isCertainlyNotRun())
})

/** Sends of one VM: the one that received the request, or a peer. */
const VM_SENDS = fc.record({
  targets: fc.array(fc.integer({ min: 1, max: 6 }), { maxLength: 5 }),
  /** Number of sends before the report; undefined if the report is lost. */
  reportedAfter: fc.option(fc.integer({ min: 0, max: 5 }), { nil: undefined })
})

function sendWhileAllowed (attempts: AttemptLedger, targets: readonly number[], reached: Set<number>): void {
  for (const target of targets) {
    if (attempts.allowedTargets(() => false)?.has(String(target)) === false) continue
    attempts.begin(String(target)).state = SendState.MayHaveRun
    reached.add(target)
  }
}

ledger('a request that is handed over to several peers reaches at most the maximum number of targets', () => {
  fc.assert(fc.property(VM_SENDS, fc.array(VM_SENDS, { maxLength: 4 }), fc.integer({ min: 1, max: 4 }), (own, peers, maximumTargets) => {
    const attempts = createAttemptLedger(true, maximumTargets)
    const reached = new Set<number>()
    sendWhileAllowed(attempts, own.targets, reached)
    for (const { targets, reportedAfter } of peers) {
      const terms = attempts.handOverTerms(() => false)
      const send = attempts.beginHandOver(terms)
      send.state = SendState.MayHaveRun
      const ofPeer = createAttemptLedger(true, maximumTargets, terms)
      sendWhileAllowed(ofPeer, targets.slice(0, reportedAfter), reached)
      send.report = reportedAfter === undefined ? undefined : ofPeer.report()
      sendWhileAllowed(ofPeer, targets.slice(reportedAfter ?? targets.length), reached)
      send.isReportFinal = reportedAfter !== undefined && reportedAfter >= targets.length
      assert.ok(attempts.reachedTargets() >= reached.size)
    }
    assert.ok(reached.size <= maximumTargets)
  }), { numRuns: RUNS, seed: SEED })
})

ledger('a peer that refused the request without a send leaves the whole limit to the next one', () => {
  const attempts = createAttemptLedger(true, 2)
  const terms = attempts.handOverTerms(() => false)
  const send = attempts.beginHandOver(terms)
  send.state = SendState.Sent
  assert.is(attempts.handOverTerms(() => false).furtherTargets, 0)
  Object.assign(send, { state: SendState.MayHaveRun, report: createAttemptLedger(true, 2, terms).report(), isReportFinal: true })
  assert.equal(attempts.handOverTerms(() => false), { reachedTargets: [], furtherTargets: 2 })
  assert.is(attempts.possibleArrivals(), 0)
})

ledger.run()
