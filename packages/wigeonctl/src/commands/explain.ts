/**
 * `wigeonctl explain`: shows what happened to one request, from the log lines of all entry VMs.
 */
import { ExitCode, type CommandOutput } from '../tool.js'

/** One parsed line of a log. */
interface LogLine {
  time: string
  vm: string
  event: string
  request?: string
  [field: string]: unknown
}

/** Events that concern a whole VM rather than one request: its own state, and its view of the store and of targets. */
const VM_EVENTS: ReadonlySet<string> = new Set([
  'started', 'stopping', 'ready', 'not-ready', 'configuration-in-force', 'store-lost', 'store-regained', 'store-history-gone',
  'target-suspected', 'target-leaving', 'target-gone', 'stream-stalled', 'lines-dropped'
])
/** How long before the first line of the request the events of its VMs are shown, milliseconds. */
const CONTEXT_MILLISECONDS = 3000
/** Fields that are not shown as `key=value`: time, VM and event come first, `*` marks the lines of the request, the level is omitted. */
const COMMON_FIELDS: ReadonlySet<string> = new Set(['time', 'level', 'event', 'vm', 'request'])

/**
 * Shows what happened to a request: the lines that name it, and events of the VMs that handled it. Returns exit code 1 if no line names it.
 * @param texts contents of the log files, one JSON object a line; text before the first brace of a line is ignored.
 */
export function explainCommand (requestId: string, texts: readonly string[]): CommandOutput {
  const lines = texts.flatMap(text => text.split('\n').flatMap(parseLine)).sort((left, right) => compareTexts(left.time, right.time))
  const requestLines = lines.filter(line => line.request === requestId)
  const first = requestLines[0]
  const last = requestLines.at(-1)
  if (first === undefined || last === undefined) {
    return { code: ExitCode.Failed, text: `no line names the request "${requestId}"`, value: { ok: false, lines: [] } }
  }
  const vms = new Set(requestLines.map(({ vm }) => vm))
  const contextStart = new Date(Date.parse(first.time) - CONTEXT_MILLISECONDS).toISOString()
  const shownLines = lines.filter(line => requestLines.includes(line) ||
    (vms.has(line.vm) && VM_EVENTS.has(line.event) && line.time >= contextStart && line.time <= last.time))
  return { code: ExitCode.Success, text: shownLines.map(line => describeLine(line, requestId)).join('\n'), value: { ok: true, lines: shownLines } }
}

function parseLine (text: string): LogLine[] {
  const start = text.indexOf('{')
  if (start === -1) return []
  try {
    const line = JSON.parse(text.slice(start)) as LogLine
    return typeof line.time === 'string' && typeof line.event === 'string' ? [line] : []
  } catch {
    // Other programs may write to the same file; their lines are ignored.
    return []
  }
}

function describeLine (line: LogLine, requestId: string): string {
  const fields = Object.entries(line).filter(([key]) => !COMMON_FIELDS.has(key)).map(([key, value]) => `${key}=${String(value)}`)
  return `${line.time} ${line.vm} ${line.request === requestId ? '*' : ' '} ${line.event} ${fields.join(' ')}`
}

function compareTexts (left: string, right: string): number {
  return left < right ? -1 : left > right ? 1 : 0
}
