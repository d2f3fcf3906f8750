/**
 * All targets fail at once and every caller's request wants a repeat, while peers lend what they do not need. Summed over the fleet, the
 * budget holds in any window.
 */
import { install } from '@sinonjs/fake-timers'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { LOAN_EXPIRY_MILLISECONDS, createRepeatBudget, type RepeatBudget } from '@wigeonlead/relay'

const WINDOW_MILLISECONDS = 10_000
const SHARE = 0.2
const EXTRA = 202
/** Known VMs; the share of each is the budget over DIVISOR. */
const VMS = 9
const DIVISOR = 12

interface BudgetCheck {
  recordRequest: () => void
  recordRepeat: () => void
  /** Checks the budget over the window that ends now. */
  check: () => void
  repeats: () => number
}

function createBudgetCheck (): BudgetCheck {
  const requests: number[] = []
  const repeats: number[] = []
  const within = (times: number[], from: number, to: number): number => times.filter(at => at > from && at <= to).length
  return {
    recordRequest: () => { requests.push(performance.now()) },
    recordRepeat: () => { repeats.push(performance.now()) },
    check () {
      const now = performance.now()
      const sent = within(repeats, now - WINDOW_MILLISECONDS, now)
      const counted = Math.max(
        within(requests, now - WINDOW_MILLISECONDS, now),
        within(requests, now - 1.5 * WINDOW_MILLISECONDS, now - 0.5 * WINDOW_MILLISECONDS),
        within(requests, now - 2 * WINDOW_MILLISECONDS, now - WINDOW_MILLISECONDS))
      assert.ok(sent <= SHARE * counted + EXTRA, `${sent} repeats for ${counted} requests at ${now}`)
    },
    repeats: () => repeats.length
  }
}

function createBudgets (count: number): RepeatBudget[] {
  return Array.from({ length: count }, () =>
    createRepeatBudget({ share: SHARE, extra: EXTRA, windowMilliseconds: WINDOW_MILLISECONDS, vms: () => DIVISOR }))
}

const budget = suite('repeat budget')

/** Requests come in bursts with pauses of these lengths, milliseconds: the worst case for the number of requests that a window holds. */
const BURSTS = [1000, 3000, 5000, 7000, 9000]
for (const alive of [1, VMS, DIVISOR]) {
  for (const burst of BURSTS) {
    budget(`${alive} VMs that all repeat and borrow as much as they can, bursts of ${burst} ms: the fleet's budget holds`, () => {
      const clock = install({ toFake: ['Date', 'performance'] })
      const budgets = createBudgets(alive)
      const budgetCheck = createBudgetCheck()
      for (let step = 0; step < 400; step++) {
        clock.tick(100)
        for (const [index, one] of budgets.entries()) {
          if (Math.floor(performance.now() / burst) % 2 === 0) {
            one.recordRequest('model')
            budgetCheck.recordRequest()
          }
          const lender = budgets[(index + step) % alive]!
          if (lender !== one && step % 3 === 0) one.addLoan('model', lender.lend('model', 4))
          while (one.take('model')) budgetCheck.recordRepeat()
        }
        budgetCheck.check()
      }
      assert.ok(budgetCheck.repeats() > 0)
      clock.uninstall()
    })
  }
}

budget('all VMs use up their shares, are killed and restart: the budget holds over both incarnations', () => {
  const clock = install({ toFake: ['Date', 'performance'] })
  const budgetCheck = createBudgetCheck()
  let budgets = createBudgets(VMS)
  for (let step = 0; step < 300; step++) {
    clock.tick(100)
    if (step === 150) budgets = createBudgets(VMS)
    for (const one of budgets) {
      one.recordRequest('model')
      budgetCheck.recordRequest()
      // Everything is spent at once, just before the kill and after it.
      if (step >= 149) while (one.take('model')) budgetCheck.recordRepeat()
    }
    budgetCheck.check()
  }
  clock.uninstall()
})

budget('the loss of a stage: the VMs of one failure domain repeat with what the others lend', () => {
  const clock = install({ toFake: ['Date', 'performance'] })
  const budgets = createBudgets(VMS)
  clock.tick(WINDOW_MILLISECONDS + 1)
  const alone = countTaken(budgets[0]!)
  for (const lender of budgets.slice(3)) budgets[1]!.addLoan('model', lender.lend('model', 100))
  const together = countTaken(budgets[1]!)
  assert.is(alone, Math.floor(0.9 * EXTRA / DIVISOR))
  assert.ok(together >= 3 * alone, `${together} with loans, ${alone} without`)
  clock.uninstall()
})

budget('a loan expires', () => {
  const clock = install({ toFake: ['Date', 'performance'] })
  const [one] = createBudgets(1)
  countTaken(one!)
  one!.addLoan('model', 5)
  clock.tick(LOAN_EXPIRY_MILLISECONDS + 1)
  assert.not(one!.take('model'))
  clock.uninstall()
})

function countTaken (one: RepeatBudget): number {
  let taken = 0
  while (one.take('model')) taken += 1
  return taken
}

budget.run()
