/**
 * What the cases have in common: the record, the exit status, and the end of all processes after 120 seconds at most.
 */
import { readFileSync, writeFileSync } from 'node:fs'

const TIME_LIMIT_MILLISECONDS = 115_000
const EXIT_HELD = 0
const EXIT_BROKEN = 1
const EXIT_NOT_RUN = 2

/**
 * Runs a case.
 * @param options.recordFile file of the record.
 * @param options.hasTrouble whether the case is played with its disruption.
 * @param play plays the case: `play({ note, hasTrouble, onEnd })` returns whether the rule was broken; it throws where the case can't run.
 */
export async function runCase ({ recordFile, hasTrouble }, play) {
  const lines = []
  const startedAt = performance.now()
  const ends = []
  const note = text => { lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}`) }
  let isOver = false

  async function finish (status, text) {
    if (isOver) return
    isOver = true
    note(text)
    for (const end of ends) await end().catch(error => note(`at the end: ${error.message}`))
    writeFileSync(recordFile, `${lines.join('\n')}\n`)
    process.stdout.write(`${text}\n`)
    process.exit(status)
  }

  setTimeout(() => { void finish(EXIT_NOT_RUN, 'not run: the time was up') }, TIME_LIMIT_MILLISECONDS).unref()
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => { void finish(EXIT_NOT_RUN, `not run: ${signal}`) })
  note(hasTrouble ? 'with the disruption' : 'without the disruption')
  try {
    const isBroken = await play({ note, hasTrouble, onEnd: end => ends.push(end) })
    await finish(isBroken ? EXIT_BROKEN : EXIT_HELD, isBroken ? 'broken' : 'held')
  } catch (error) {
    await finish(EXIT_NOT_RUN, `not run: ${error.stack}`)
  }
}

/** Notes lines of a process's log that contain one of the words. */
export function noteLog (note, relay, words, maximum = 20) {
  const found = readFileSync(relay.logFile, 'utf8').split('\n').filter(line => words.some(word => line.includes(word)))
  for (const line of found.slice(0, maximum)) note(`log of ${relay.vm}: ${line.slice(0, 400)}`)
}
