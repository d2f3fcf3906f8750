/**
 * Model replicas spoil a few of their answers: bytes that are no answer come together with the head. Counts the requests that nothing
 * answers at the time-out of their route.
 */
import { HAS_TROUBLE, readMetric, runCase } from '../lib-2/case.mjs'
import { pause } from '../lib-2/fleet.mjs'

const TIMEOUT_MS = 3000
const SLACK_MS = 500
/** A caller leaves a stream after a gap of four times its objective. */
const PATIENCE_MS = 4000
const DEADLINE_MS = 8000
const EVENTS = 6
const STREAMS_PER_S = 150
const TRAFFIC_S = 11
/** `garble`: half of the replicas, 2 in 100 answers, for 5 s. */
const GARBLE = { fromS: 2, forS: 5, share: 0.5, every: 50 }
const MODELS = 6
/** A verdict needs a few requests. */
const LEAST_UNANSWERED = 3

const chunk = text => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`
const event = (id, number) => `id: ${number}\ndata: ${id}:${number}\n\n`

/** Two spoiled answers: a whole one with further bytes after it, and one that goes on with bytes that are no chunk. */
const SPOILED = [
  id => Array.from({ length: EVENTS }, (_, index) => chunk(event(id, index + 1))).join('') + '0\r\n\r\nfurther bytes\r\n',
  id => chunk(event(id, 1)) + 'no chunk\r\n'
]

await runCase(new URL('record.txt', import.meta.url), async (note, start) => {
  let isGarbling = false
  const begun = new Array(MODELS).fill(0)
  const spoiled = new Set()

  function run (index, { requestId, path }, response, socket, answerHead) {
    if (!path.startsWith('/write/') || !isGarbling || index >= MODELS * GARBLE.share) return false
    begun[index] += 1
    if (begun[index] % GARBLE.every !== 0) return false
    const head = Object.entries(answerHead(requestId, 'text/event-stream')).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const spoil = SPOILED[spoiled.size % SPOILED.length]
    spoiled.add(requestId)
    socket.write(`HTTP/1.1 200 OK\r\n${head}Transfer-Encoding: chunked\r\n\r\n${spoil(requestId)}`)
    return true
  }

  const triage = {
    Name: 'triage',
    Prefix: '/write/',
    Kind: 'streaming',
    TimeoutMs: TIMEOUT_MS,
    TargetLatencyMs: 1000,
    TargetGapMs: 200,
    Service: 'model',
    MaxAttempts: 2,
    Resumable: true,
    Sticky: true
  }
  const { machines, callers, runs } = await start({ models: MODELS, run, config: { routes: [triage] } })
  const results = []
  const pending = []
  const startedAt = performance.now()
  for (let count = 0; count < STREAMS_PER_S * TRAFFIC_S; count++) {
    const second = count / STREAMS_PER_S
    await pause(Math.max(0, startedAt + second * 1000 - performance.now()))
    isGarbling = HAS_TROUBLE && second >= GARBLE.fromS && second < GARBLE.fromS + GARBLE.forS
    const id = `s${count}`
    const machine = count % machines.length
    pending.push(callers[machine].send({
      method: 'POST',
      path: `/write/${EVENTS}`,
      id,
      body: `prompt ${count}`,
      headers: { 'X-Model': 'm', 'X-Token-Counts': `40,${EVENTS}` },
      deadline: DEADLINE_MS,
      patience: PATIENCE_MS
    }).then(result => results.push({ ...result, machine: machines[machine].name })))
  }
  await Promise.all(pending)
  const late = results.filter(({ ms }) => ms >= TIMEOUT_MS)
  const unanswered = late.filter(({ ms, status }) => status === 0 && ms >= TIMEOUT_MS + SLACK_MS)
  const whole = results.filter(({ status, isWhole }) => status === 200 && isWhole).length
  note(`${results.length} requests sent, ${whole} answered whole, ${spoiled.size} answers spoiled`)
  for (const { id, machine, ms } of unanswered) {
    const at = (runs.get(id) ?? []).map(({ replica }) => replica).join(' ')
    note(`${id} at ${machine}: run at ${at}, ${spoiled.has(id) ? 'spoiled, ' : ''}no answer after ${ms} ms`)
  }
  note(`still unanswered at TimeoutMs (${TIMEOUT_MS} ms): ${late.length}; of these without an answer ${SLACK_MS} ms later: ${unanswered.length}`)
  await pause(1000)
  for (const machine of machines) {
    note(`${machine.name}: streams under way after all callers have left: ${await readMetric(machine, 'streams_under_way')}`)
  }
  return late.length < LEAST_UNANSWERED || unanswered.length * 2 <= late.length
})
