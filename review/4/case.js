/**
 * A sound server of the model falls silent for a second or so and goes on, right after a SIGHUP of the process. Are its streams, which must
 * not be repeated, still passed on to their end?
 */
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { noteLog, runCase } from '../lib/case.js'
import { createAgent, send } from '../lib/clients.js'
import { HOST, KEY, MODEL_HEADERS, STREAM_DEADLINE, startDeployment } from '../lib/deployment.js'
import { forkServer } from '../lib/server-process.js'

/**
 * Length of the server's queue of new connections. On the loopback address, the kernel opens connections for a process that is stopped
 * until this queue is full; then it drops opening packets, as the link to a silent machine does at once.
 */
const BACKLOG = 4
const SILENT_MILLISECONDS = 1200
const SILENT_AFTER = 800
const STREAMS_PER_SECOND = 10
const TRAFFIC_SECONDS = 2
/** Events at an interval of 20 ms: four seconds. Clients bear a gap of two seconds; this one is shorter. */
const EVENTS = 200

const recordFile = fileURLToPath(new URL('record.txt', import.meta.url))
const hasTrouble = process.env.TROUBLE !== '0'

await runCase({ recordFile, hasTrouble }, async ({ note, onEnd }) => {
  const runs = new Map()
  const deployment = await startDeployment({
    relays: 4,
    draft: { Resumable: false, MaxAttempts: 1 },
    onRun: run => runs.set(run.id, run),
    openModel: options => forkServer({ ...options, backlog: BACKLOG })
  })
  onEnd(deployment.end)
  const { relays: [relay], modelServers: [server] } = deployment

  const streams = []
  async function sendStreams () {
    for (let number = 0; number < STREAMS_PER_SECOND * TRAFFIC_SECONDS; number++) {
      streams.push(send(relay.front, {
        host: HOST, path: `/draft/${number}/${EVENTS}`, method: 'POST', key: KEY, deadline: STREAM_DEADLINE, headers: MODEL_HEADERS, agent: createAgent()
      }))
      await pause(1000 / STREAMS_PER_SECOND)
    }
  }
  relay.child.kill('SIGHUP')
  const hupAt = performance.now()
  note(`${relay.vm} gets SIGHUP; ${STREAMS_PER_SECOND} streams a second follow for ${TRAFFIC_SECONDS} seconds`)
  const traffic = sendStreams()
  await pause(SILENT_AFTER)
  if (hasTrouble) {
    server.child.kill('SIGSTOP')
    note(`server ${server.id} falls silent`)
    await pause(SILENT_MILLISECONDS)
    server.child.kill('SIGCONT')
    note(`server ${server.id} goes on`)
  }
  await traffic
  const seen = await Promise.all(streams)
  for (const { id, status, reason, milliseconds, sentAt, body } of seen) {
    const run = runs.get(id)
    const lastEvent = [...body.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1] ?? 'none'
    note(`stream ${id}: sent ${Math.round(sentAt - hupAt)} ms after SIGHUP, ${run === undefined ? 'not run' : `run by ${run.server}`}, ` +
      `status ${status}, ${reason} after ${Math.round(milliseconds)} ms, last event ${lastEvent}`)
  }
  noteLog(note, relay, ['"target-suspected"', '"request-failed"', '"targets-unreachable"'])
  // The rule: around planned work, a process has read a whole request, passed it on, and the connection ends without a complete answer.
  const cut = seen.filter(({ reason, id }) => reason === 'cut' && runs.has(id))
  note(`${seen.length} streams; ${cut.length} were passed on to a server, and their connections ended without a complete answer`)
  return cut.length > 0
})
