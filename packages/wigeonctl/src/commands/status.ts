/**
 * `wigeonctl status`: shows the state of every entry VM that can be reached, and what is not yet in force there and why.
 */
import { describeFailure, nodeStatusSchema, readHead, type KeyValuePort, type NodeStatusReport } from '@wigeonlead/protocol'
import { queryRouters, type RouterAnswer, type RouterQuery } from '../routers.js'
import { ExitCode, type CommandOutput } from '../tool.js'

/** A part of the configuration that is accepted and not yet in force at an entry VM. */
export interface NotInForce {
  vm: string
  section: string
  what: string
  why: string
}

/**
 * Queries every entry VM for its status. Returns exit code 1 if one of them could not be reached.
 * @param keyValue for reading the last accepted generation; when absent, the highest generation in force is used instead.
 */
export async function statusCommand (query: RouterQuery, keyValue?: KeyValuePort): Promise<CommandOutput> {
  const answers = await queryRouters(query, '/status', nodeStatusSchema)
  const reached = answers.flatMap(answer => 'value' in answer ? [{ address: answer.address, ...answer.value }] : [])
  const unreachable = answers.filter(answer => 'unreachable' in answer)
  const accepted = keyValue === undefined ? undefined : await readAcceptedGeneration(keyValue)
  const inForce = Math.max(0, ...reached.map(node => node.member.generation))
  const generation = Math.max(inForce, accepted?.generation ?? 0)
  const notInForce = reached.flatMap(node => [...listOutdated(node, generation), ...listPending(node)])
  const unqueried = listUnqueried(reached)
  const text = [
    `generation ${inForce} is the highest in force${accepted?.text ?? ''}; ${reached.length} of ${answers.length} entry VMs answered`,
    ...reached.map(describeNode),
    ...unreachable.map(answer => describeUnreachable(answer)),
    ...unqueried.map(member => `member of the fleet that was not asked: ${member}`),
    ...(notInForce.length === 0 ? ['everything declared is in force at the entry VMs that answered'] : ['not yet in force:']),
    ...notInForce.map(item => `  ${item.vm} ${item.section}: ${item.what}: ${item.why}`)
  ].join('\n')
  const value = { generation: inForce, accepted: accepted?.generation, routers: reached, unreachable, notAsked: unqueried, notInForce }
  return { code: unreachable.length === 0 && reached.length > 0 ? ExitCode.Success : ExitCode.Failed, text, value }
}

async function readAcceptedGeneration (keyValue: KeyValuePort): Promise<{ generation?: number, text: string }> {
  const read = await readHead(keyValue)
  if (!read.ok) return { text: `, which generation was accepted last is not known (${describeFailure(read.failure)})` }
  const generation = read.value.head?.generation ?? 0
  return { generation, text: `, generation ${generation} was accepted last` }
}

/** Returns the output line for an entry VM that could not be reached. */
export function describeUnreachable<T> (answer: RouterAnswer<T>): string {
  return `${answer.address}  could not be reached: ${'unreachable' in answer ? answer.unreachable : ''}`
}

function describeNode (node: NodeStatusReport & { address: string }): string {
  const { member, sections, isReady } = node
  const members = countByState(sections.members)
  const ready = isReady === false ? 'not ready' : 'ready'
  const fields = [node.address, member.vm, member.failureDomain, member.state, ready, `generation ${member.generation}`]
  return [...fields, `in flight ${String(sections.requestsInFlight ?? 'unknown')}`, `members ${members}`].join('  ')
}

function listOutdated (node: NodeStatusReport, generation: number): NotInForce[] {
  if (node.member.generation >= generation) return []
  const why = node.member.generation === 0 ? 'it has seen no configuration yet' : `it still has generation ${node.member.generation}`
  return [{ vm: node.member.vm, section: 'configuration', what: `generation ${generation}`, why }]
}

function listPending (node: NodeStatusReport): NotInForce[] {
  return Object.entries(node.sections).flatMap(([section, content]) => {
    const items = asRecord(content)?.pending
    return Array.isArray(items) ? items.map(item => describePending(node.member.vm, section, asRecord(item) ?? {})) : []
  })
}

function describePending (vm: string, section: string, item: Record<string, unknown>): NotInForce {
  const what = [item.target, item.order].filter(part => part !== undefined).join(' ')
  const why = [item.reason, item.detail].filter(part => part !== undefined).join(': ')
  return { vm, section, what: what === '' ? JSON.stringify(item) : what, why: why === '' ? 'no reason is given' : why }
}

function listUnqueried (reached: NodeStatusReport[]): string[] {
  const queried = new Set(reached.map(node => node.member.vm))
  const listedMembers = reached.flatMap(node => Array.isArray(node.sections.members) ? node.sections.members : [])
  const names = listedMembers.map(asRecord).filter(member => member?.state === 'alive').map(member => String(member?.vm))
  return [...new Set(names)].filter(name => !queried.has(name)).sort()
}

function countByState (members: unknown): string {
  if (!Array.isArray(members)) return 'unknown'
  const counts = new Map<string, number>()
  for (const member of members) {
    const state = String(asRecord(member)?.state)
    counts.set(state, (counts.get(state) ?? 0) + 1)
  }
  return [...counts].map(([state, count]) => `${count} ${state}`).join(', ')
}

function asRecord (value: unknown): Record<string, unknown> | undefined {
  return typeof value === 'object' && value !== null ? value as Record<string, unknown> : undefined
}
