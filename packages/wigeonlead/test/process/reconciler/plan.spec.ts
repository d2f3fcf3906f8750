import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineRole, type EngineReport, type HeldPart } from '@wigeonlead/protocol'
import { describeOrder, planOrders, type PlanInput } from '../../../src/process/reconciler/index.js'
import { compileVersion } from '../../../src/version/index.js'
import { toManifest, type Declaration } from '../../properties/reconciler-world.js'

const TOKEN = 7
const NAMES = ['one', 'two', 'three', 'four']

/** Targets one and two check fencing tokens, three and four don't. Held parts are written as in declarations. */
interface Case {
  name: string
  declared: Declaration
  held: Declaration['serves']
  reports?: Record<string, Partial<EngineReport> | undefined>
  input?: Partial<PlanInput>
  expected: string[]
}

const FULL: Declaration['serves'][number] = [['v1', 0, 4]]
const FIRST: Declaration['serves'][number] = [['v1', 0, 2]]
const LAST: Declaration['serves'][number] = [['v1', 2, 4]]
const LETTERS: Declaration['serves'][number] = [['v1', 0, 4, ['letters']]]
const V2: Declaration['serves'][number] = [['v2', 0, 4]]
const V1_ONLY = ['v1']

const CASES: Case[] = [
  { name: 'nothing to do', declared: { versions: V1_ONLY, serves: [FULL, [], FULL, []] }, held: [FULL, [], FULL, []], expected: [] },
  { name: 'a load', declared: { versions: V1_ONLY, serves: [FULL, FULL] }, held: [FULL], expected: ['two load v1 0-4'] },
  {
    name: 'an adapter beside the one held',
    declared: { versions: V1_ONLY, serves: [[['v1', 0, 4, ['trades']]]] },
    held: [LETTERS],
    expected: ['one load v1 0-4 letters+trades']
  },
  {
    name: 'no report',
    declared: { versions: V1_ONLY, serves: [FULL, FULL] },
    held: [FULL],
    reports: { two: undefined },
    expected: ['two - target-unreachable']
  },
  {
    name: 'a role',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [FULL],
    reports: { three: { role: EngineRole.Decode } },
    expected: ['three set-role both']
  },
  {
    name: 'a target that has not seen the token',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [FULL],
    reports: { two: { fencingToken: 3 } },
    expected: ['two set-role both']
  },
  {
    name: 'a target that saw a greater token',
    declared: { versions: V1_ONLY, serves: [FULL, FULL] },
    held: [FULL],
    reports: { two: { fencingToken: 9 } },
    expected: ['two load v1 0-4 refused-as-fenced']
  },
  {
    name: 'an earlier holder is waited out',
    declared: { versions: V1_ONLY, serves: [FULL, [], FULL] },
    held: [FULL],
    input: { isWaitedOut: false },
    expected: ['three load v1 0-4 waiting-out-earlier-holder']
  },
  {
    name: 'a leaving target',
    declared: { versions: V1_ONLY, serves: [FULL, FULL] },
    held: [FULL],
    input: { isLeaving: name => name === 'two' },
    expected: ['two load v1 0-4 target-leaving']
  },
  { name: 'a part too many', declared: { versions: V1_ONLY, serves: [FULL] }, held: [FULL, FULL], expected: ['two unload v1 0-4'] },
  {
    name: 'a part too many in a new manifest',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [FULL, FULL],
    input: { inForceForMilliseconds: 9000 },
    expected: ['two unload v1 0-4 settling']
  },
  {
    name: 'the last replica stays till the declared one is loaded',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [[], FULL],
    expected: ['one load v1 0-4', 'two unload v1 0-4 last-serving-replica']
  },
  {
    name: 'the last of a version that no target declares',
    declared: { versions: ['v1', 'v2'], serves: [V2] },
    held: [V2, FULL, FULL],
    expected: ['two unload v1 0-4', 'three unload v1 0-4 last-serving-replica']
  },
  {
    name: 'a version that is no longer declared',
    declared: { versions: ['v2'], serves: [V2] },
    held: [V2, FULL, FULL],
    expected: ['two unload v1 0-4', 'three unload v1 0-4']
  },
  {
    name: 'a version that is still used somewhere',
    declared: { versions: ['v2'], serves: [V2] },
    held: [V2, FULL, FULL],
    reports: { three: { running: 1 } },
    input: { inForceForMilliseconds: 60_000 },
    expected: ['two unload v1 0-4 in-use', 'three unload v1 0-4 in-use']
  },
  {
    name: 'a version of unknown use is kept for the drain',
    declared: { versions: ['v2'], serves: [V2] },
    held: [V2, FULL],
    input: { inForceForMilliseconds: 60_000 },
    expected: ['two unload v1 0-4 in-use']
  },
  {
    name: 'a version that nothing uses goes at once',
    declared: { versions: ['v2'], serves: [V2] },
    held: [V2, FULL],
    reports: { two: { held: [{ ...toPart(FULL[0]!), running: 0 }] } },
    input: { inForceForMilliseconds: 60_000 },
    expected: ['two unload v1 0-4']
  },
  {
    name: 'its use is unknown after the drain',
    declared: { versions: ['v2'], serves: [V2] },
    held: [V2, FULL],
    reports: { two: { running: 1 } },
    expected: ['two unload v1 0-4']
  },
  {
    name: 'a replica that is used',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [FULL, FULL],
    reports: { two: { held: [{ ...toPart(FULL[0]!), running: 2 }] } },
    expected: ['two unload v1 0-4 in-use']
  },
  {
    name: 'halves stand in for the whole',
    declared: { versions: V1_ONLY, serves: [FIRST, LAST] },
    held: [FIRST, LAST, FULL],
    expected: ['three unload v1 0-4']
  },
  {
    name: 'the whole stands in for halves',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [FULL, FIRST, LAST],
    expected: ['two unload v1 0-2', 'three unload v1 2-4']
  },
  {
    name: 'one half does not',
    declared: { versions: V1_ONLY, serves: [FIRST, LAST] },
    held: [FIRST, [], FULL],
    expected: ['two load v1 2-4', 'three unload v1 0-4 last-serving-replica']
  },
  {
    name: 'a replica behind an old token does not count',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [FULL, FULL],
    reports: { one: { fencingToken: 3 } },
    expected: ['one set-role both', 'two unload v1 0-4 last-serving-replica']
  },
  {
    name: 'a replica in doubt does not count',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [FULL, FULL],
    input: { isDoubtful: name => name === 'one' },
    expected: ['two unload v1 0-4 last-serving-replica']
  },
  {
    name: 'a leaving replica does not count',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [FULL, FULL],
    input: { isLeaving: name => name === 'one' },
    expected: ['two unload v1 0-4 last-serving-replica']
  },
  {
    name: 'a replica of another role does not count',
    declared: { versions: V1_ONLY, serves: [FULL] },
    held: [[], FULL, FULL],
    reports: { three: { role: EngineRole.Prefill } },
    expected: ['one load v1 0-4', 'three set-role both', 'two unload v1 0-4 last-serving-replica', 'three unload v1 0-4']
  },
  {
    name: 'an adapter goes once another target has it',
    declared: { versions: V1_ONLY, serves: [FULL, LETTERS] },
    held: [LETTERS, LETTERS],
    expected: ['one load v1 0-4']
  },
  {
    name: 'and not before',
    declared: { versions: V1_ONLY, serves: [FULL, LETTERS] },
    held: [LETTERS, FULL],
    expected: ['two load v1 0-4 letters', 'one load v1 0-4 last-serving-replica']
  }
]

const plans = suite('plans of engine orders')
for (const row of CASES) {
  plans(row.name, () => {
    const head = { generation: 1, nonce: '', publishedAtMilliseconds: 0, parts: [], stops: [] }
    const reports = NAMES.flatMap((name, index): EngineReport[] => {
      if (row.reports !== undefined && name in row.reports && row.reports[name] === undefined) return []
      return [{ ...toReport(name, (row.held[index] ?? []).map(toPart)), ...row.reports?.[name] }]
    })
    const differences = planOrders({
      version: compileVersion(head, toManifest(row.declared)),
      failureDomain: 'howrah',
      reports: new Map(reports.map(report => [report.target, report])),
      token: TOKEN,
      isWaitedOut: true,
      inForceForMilliseconds: 600_000,
      drainMilliseconds: 120_000,
      isLeaving: () => false,
      isDoubtful: () => false,
      ...row.input
    })
    const seen = differences.map(({ target, order, blockedBy }) =>
      [target.name, order === undefined ? '-' : describeOrder(order).replace('assistant ', ''), blockedBy ?? ''].join(' ').trim())
    assert.equal(seen, row.expected)
  })
}
plans.run()

function toPart ([version, from, to, adapters]: Declaration['serves'][number][number]): HeldPart {
  return { model: 'assistant', version, adapters: adapters ?? [], layers: { from, to } }
}

function toReport (target: string, held: HeldPart[]): EngineReport {
  return {
    target,
    incarnation: '1',
    atMilliseconds: 0,
    running: 0,
    queued: 0,
    tokensPerSecond: 0,
    role: EngineRole.Both,
    held,
    fencingToken: target === 'one' || target === 'two' ? TOKEN : undefined,
    cacheEvents: []
  }
}
