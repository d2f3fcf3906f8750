/**
 * LOST: a part of a prompt crashes each replica that begins to write an answer on it, right after the first event. Requests with the part
 * are sent on for as long as they come, and take all replicas away from sound requests.
 */
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { noteLog, runCase } from '../lib/case.js'
import { send } from '../lib/clients.js'
import { HOST, KEY, STREAM_DEADLINE, startDeployment } from '../lib/deployment.js'
import { openModel } from '../lib/model-process.js'

const MODELS = 6
const EVENTS = 10
const SHARED_PART = '5c1e07a2'
const BAD_PART = 'bad0bad0'
/** Sound requests at each machine, and bad ones at all machines in turn, milliseconds from one to the next. */
const SOUND_INTERVAL = 200
const BAD_INTERVAL = 1000
const SOUND_SECONDS = 8
const BAD_SECONDS = 40
const PATIENCE = 2000
const CONTACT = 3000
const LEAST_REQUESTS = 20
const MOST_AFTER_FIFTH = 3

await runCase({ recordFile: fileURLToPath(new URL('record.txt', import.meta.url)), hasTrouble: process.env.TROUBLE !== '0' }, async ({ note, hasTrouble, onEnd }) => {
  const runs = []
  const crashes = []
  const deployment = await startDeployment({
    models: MODELS,
    onRun: ({ id, server, from }) => { runs.push({ id, server, from, at: performance.now() }) },
    openModel: options => openModel({
      ...options,
      badPart: BAD_PART,
      onCrash (id) {
        crashes.push(performance.now())
        note(`${id} crashes, the ${crashes.length}. crash`)
      }
    })
  })
  onEnd(deployment.end)
  const { relays } = deployment
  const play = { isOver: false }
  const sound = []
  const bad = []
  let nextOwn = 1

  function ask (relay, parts) {
    const own = (nextOwn++).toString(16).padStart(8, '0')
    const prefix = [...parts.map(part => `${part}:40`), `${own}:680`].join(',')
    return send(relay.front, {
      host: HOST,
      path: `/draft/${own}/${EVENTS}`,
      method: 'POST',
      key: KEY,
      deadline: STREAM_DEADLINE,
      patience: PATIENCE,
      headers: { 'X-Model': 'm', 'X-Token-Counts': '760,30', 'X-Prompt-Prefix': prefix }
    })
  }

  async function askSound (relay) {
    while (!play.isOver) {
      sound.push(ask(relay, [SHARED_PART]))
      await pause(SOUND_INTERVAL)
    }
  }

  for (const relay of relays) void askSound(relay)
  await pause(SOUND_SECONDS * 1000)
  const badFrom = performance.now()
  for (let index = 0; performance.now() - badFrom < BAD_SECONDS * 1000; index++) {
    if (hasTrouble) bad.push(ask(relays[index % relays.length], [SHARED_PART, BAD_PART]))
    await pause(BAD_INTERVAL)
  }
  const badTo = performance.now()
  play.isOver = true
  const soundEnds = await Promise.all(sound)
  const badEnds = await Promise.all(bad)

  const begun = new Set(runs.map(({ id }) => id))
  const badIds = new Set(badEnds.map(({ id }) => id))
  const share = list => list.filter(({ id }) => begun.has(id)).length / list.length
  const before = soundEnds.filter(({ sentAt }) => sentAt < badFrom)
  const fifth = crashes[Math.min(crashes.length, 5) - 1] ?? badFrom
  const during = soundEnds.filter(({ sentAt }) => sentAt > fifth + 2 * CONTACT && sentAt < badTo)
  for (const { id } of badEnds) {
    note(`bad request ${id}: run by ${runs.filter(run => run.id === id).map(({ server, from }) => `${server} from event ${from}`).join(', ') || 'none'}`)
  }
  const statuses = new Map()
  for (const { status } of during) statuses.set(status, (statuses.get(status) ?? 0) + 1)
  const afterFifth = runs.filter(({ id, at }) => badIds.has(id) && at > fifth + CONTACT).length
  note(`${bad.length} bad requests, ${crashes.length} crashes; ${afterFifth} runs of bad requests later than ${CONTACT} ms after the fifth crash`)
  note(`sound requests before: ${before.length}, of which ${(share(before) * 100).toFixed(1)} in 100 began; ` +
    `from ${2 * CONTACT} ms after the fifth crash: ${during.length}, of which ${(share(during) * 100).toFixed(1)} in 100 began`)
  note(`statuses of the latter: ${[...statuses].map(([status, count]) => `${status || 'none'} ${count} times`).join(', ')}`)
  for (const relay of relays) noteLog(note, relay, ['content-judged', 'content-quarantined'], 3)
  if (before.length < LEAST_REQUESTS || during.length < LEAST_REQUESTS) throw new Error('too few requests to judge')
  if (afterFifth > MOST_AFTER_FIFTH) note('BUDGET is broken too')
  return share(during) < share(before) / 2
})
