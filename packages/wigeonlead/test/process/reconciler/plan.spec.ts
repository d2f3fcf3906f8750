import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { EngineRole, type EngineReport, type ModelPart } from '@wigeonlead/protocol'
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

const WHOLE_V1: Declaration['serves'][number] = [['v1', 0, 4]]
const FIRST_HALF: Declaration['serves'][number] = [['v1', 0, 2]]
const SECOND_HALF: Declaration['serves'][number] = [['v1', 2, 4]]
const WHOLE_V1_WITH_LETTERS: Declaration['serves'][number] = [['v1', 0, 4, ['letters']]]
const WHOLE_V2: Declaration['serves'][number] = [['v2', 0, 4]]
const V1_ONLY = ['v1']

const CASES: Case[] = [
  { name: 'the declared state is reached: no order', declared: { versions: V1_ONLY, serves: [WHOLE_V1, [], WHOLE_V1, []] }, held: [WHOLE_V1, [], WHOLE_V1, []], expected: [] },
  { name: 'a declared part that is missing is loaded', declared: { versions: V1_ONLY, serves: [WHOLE_V1, WHOLE_V1] }, held: [WHOLE_V1], expected: ['two load v1 0-4'] },
  {
    name: 'a missing adapter is loaded beside an undeclared one',
    declared: { versions: V1_ONLY, serves: [[['v1', 0, 4, ['trades']]]] },
    held: [WHOLE_V1_WITH_LETTERS],
    expected: ['one load v1 0-4 letters+trades']
  },
  {
    name: 'a target without a report counts as unreachable',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1, WHOLE_V1] },
    held: [WHOLE_V1],
    reports: { two: undefined },
    expected: ['two - target-unreachable']
  },
  {
    name: 'a target with another role than declared gets its role set',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [WHOLE_V1],
    reports: { three: { role: EngineRole.Decode } },
    expected: ['three set-role both']
  },
  {
    name: 'a target that has not seen the current fencing token gets a set-role order, which carries the token to it',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [WHOLE_V1],
    reports: { two: { fencingToken: 3 } },
    expected: ['two set-role both']
  },
  {
    name: 'a target that saw a greater fencing token gets no order',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1, WHOLE_V1] },
    held: [WHOLE_V1],
    reports: { two: { fencingToken: 9 } },
    expected: ['two load v1 0-4 refused-as-fenced']
  },
  {
    name: 'a target that ignores fencing tokens gets no order until orders of earlier holders have expired',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1, [], WHOLE_V1] },
    held: [WHOLE_V1],
    input: { haveEarlierOrdersExpired: false },
    expected: ['three load v1 0-4 waiting-out-earlier-holder']
  },
  {
    name: 'a leaving target gets no order',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1, WHOLE_V1] },
    held: [WHOLE_V1],
    input: { isLeaving: name => name === 'two' },
    expected: ['two load v1 0-4 target-leaving']
  },
  { name: 'an undeclared part is unloaded', declared: { versions: V1_ONLY, serves: [WHOLE_V1] }, held: [WHOLE_V1, WHOLE_V1], expected: ['two unload v1 0-4'] },
  {
    name: 'an undeclared part is not unloaded shortly after a new manifest came into force',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [WHOLE_V1, WHOLE_V1],
    input: { sinceFirstPassMilliseconds: 9000 },
    expected: ['two unload v1 0-4 settling']
  },
  {
    name: 'the last replica is not unloaded until the declared one is loaded',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [[], WHOLE_V1],
    expected: ['one load v1 0-4', 'two unload v1 0-4 last-serving-replica']
  },
  {
    name: 'the last replica of a listed version that no target declares is not unloaded',
    declared: { versions: ['v1', 'v2'], serves: [WHOLE_V2] },
    held: [WHOLE_V2, WHOLE_V1, WHOLE_V1],
    expected: ['two unload v1 0-4', 'three unload v1 0-4 last-serving-replica']
  },
  {
    name: 'all replicas of a version that is no longer listed are unloaded',
    declared: { versions: ['v2'], serves: [WHOLE_V2] },
    held: [WHOLE_V2, WHOLE_V1, WHOLE_V1],
    expected: ['two unload v1 0-4', 'three unload v1 0-4']
  },
  {
    name: 'a version that is no longer listed is not unloaded while any replica of it is in use',
    declared: { versions: ['v2'], serves: [WHOLE_V2] },
    held: [WHOLE_V2, WHOLE_V1, WHOLE_V1],
    reports: { three: { running: 1 } },
    input: { sinceFirstPassMilliseconds: 60_000 },
    expected: ['two unload v1 0-4 in-use', 'three unload v1 0-4 in-use']
  },
  {
    name: 'a version that may still be in use is not unloaded during the drain time',
    declared: { versions: ['v2'], serves: [WHOLE_V2] },
    held: [WHOLE_V2, WHOLE_V1],
    input: { sinceFirstPassMilliseconds: 60_000 },
    expected: ['two unload v1 0-4 in-use']
  },
  {
    name: 'a version that is known to be unused is unloaded at once',
    declared: { versions: ['v2'], serves: [WHOLE_V2] },
    held: [WHOLE_V2, WHOLE_V1],
    reports: { two: { held: [{ ...toPart(WHOLE_V1[0]!), running: 0 }] } },
    input: { sinceFirstPassMilliseconds: 60_000 },
    expected: ['two unload v1 0-4']
  },
  {
    name: 'a version that may still be in use is unloaded after the drain time',
    declared: { versions: ['v2'], serves: [WHOLE_V2] },
    held: [WHOLE_V2, WHOLE_V1],
    reports: { two: { running: 1 } },
    expected: ['two unload v1 0-4']
  },
  {
    name: 'an undeclared replica in use is not unloaded',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [WHOLE_V1, WHOLE_V1],
    reports: { two: { held: [{ ...toPart(WHOLE_V1[0]!), running: 2 }] } },
    expected: ['two unload v1 0-4 in-use']
  },
  {
    name: 'two halves of the layers replace a replica of the whole model',
    declared: { versions: V1_ONLY, serves: [FIRST_HALF, SECOND_HALF] },
    held: [FIRST_HALF, SECOND_HALF, WHOLE_V1],
    expected: ['three unload v1 0-4']
  },
  {
    name: 'a replica of the whole model replaces two halves of the layers',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [WHOLE_V1, FIRST_HALF, SECOND_HALF],
    expected: ['two unload v1 0-2', 'three unload v1 2-4']
  },
  {
    name: 'one half of the layers does not replace a replica of the whole model',
    declared: { versions: V1_ONLY, serves: [FIRST_HALF, SECOND_HALF] },
    held: [FIRST_HALF, [], WHOLE_V1],
    expected: ['two load v1 2-4', 'three unload v1 0-4 last-serving-replica']
  },
  {
    name: 'a replica at a target that has not seen the current fencing token does not count',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [WHOLE_V1, WHOLE_V1],
    reports: { one: { fencingToken: 3 } },
    expected: ['one set-role both', 'two unload v1 0-4 last-serving-replica']
  },
  {
    name: 'a replica that a sent order may still change does not count',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [WHOLE_V1, WHOLE_V1],
    input: { mayStillChange: name => name === 'one' },
    expected: ['two unload v1 0-4 last-serving-replica']
  },
  {
    name: 'a replica at a leaving target does not count',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [WHOLE_V1, WHOLE_V1],
    input: { isLeaving: name => name === 'one' },
    expected: ['two unload v1 0-4 last-serving-replica']
  },
  {
    name: 'a replica with another role does not count',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1] },
    held: [[], WHOLE_V1, WHOLE_V1],
    reports: { three: { role: EngineRole.Prefill } },
    expected: ['one load v1 0-4', 'three set-role both', 'two unload v1 0-4 last-serving-replica', 'three unload v1 0-4']
  },
  {
    name: 'an undeclared adapter is removed once another target has it',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1, WHOLE_V1_WITH_LETTERS] },
    held: [WHOLE_V1_WITH_LETTERS, WHOLE_V1_WITH_LETTERS],
    expected: ['one load v1 0-4']
  },
  {
    name: 'an undeclared adapter is not removed before another target has it',
    declared: { versions: V1_ONLY, serves: [WHOLE_V1, WHOLE_V1_WITH_LETTERS] },
    held: [WHOLE_V1_WITH_LETTERS, WHOLE_V1],
    expected: ['two load v1 0-4 letters', 'one load v1 0-4 last-serving-replica']
  }
]

const planTests = suite('planning of engine orders')
for (const row of CASES) {
  planTests(row.name, () => {
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
      haveEarlierOrdersExpired: true,
      sinceFirstPassMilliseconds: 600_000,
      drainMilliseconds: 120_000,
      isLeaving: () => false,
      mayStillChange: () => false,
      ...row.input
    })
    const seen = differences.map(({ target, order, blockedBy }) =>
      [target.name, order === undefined ? '-' : describeOrder(order).replace('assistant ', ''), blockedBy ?? ''].join(' ').trim())
    assert.equal(seen, row.expected)
  })
}
planTests.run()

function toPart ([version, from, to, adapters]: Declaration['serves'][number][number]): ModelPart {
  return { model: 'assistant', version, adapters: adapters ?? [], layers: { from, to } }
}

function toReport (target: string, held: ModelPart[]): EngineReport {
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
