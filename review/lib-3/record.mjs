/**
 * Writes what was sent, answered and run to `record.txt` of a case, and runs the case to its exit code.
 */
import { writeFileSync, writeSync } from 'node:fs'

const CANNOT_RUN = 2
/** No case takes longer, milliseconds. */
const LIMIT_MILLISECONDS = 115_000

/** Creates a record whose times count from now. */
export function createRecord () {
  const startedAt = performance.now()
  const lines = []
  return {
    now: () => performance.now() - startedAt,
    add (text) { lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`) },
    write (file) { writeFileSync(file, lines.join('\n') + '\n') }
  }
}

/**
 * Runs a case.
 * @param file where the record is written.
 * @param hasTrouble whether the case is played with its disruption.
 * @param play plays the case and ends all that it started; it returns whether the rule was broken.
 */
export async function runCase (file, hasTrouble, play) {
  const record = createRecord()
  const endings = []
  let code = CANNOT_RUN
  const timer = setTimeout(() => {
    record.add('the case took too long')
    void finish()
  }, LIMIT_MILLISECONDS)

  let isFinishing = false

  async function finish () {
    if (isFinishing) return
    isFinishing = true
    clearTimeout(timer)
    for (const end of endings.reverse()) await end()
    record.write(file)
    process.exit(code)
  }

  // What was started ends with the case, also where the case is stopped or fails on its own.
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(signal, () => { void finish() })
  for (const event of ['uncaughtException', 'unhandledRejection']) {
    process.on(event, error => {
      record.add(`the case could not run: ${error.stack}`)
      code = CANNOT_RUN
      void finish()
    })
  }

  try {
    record.add(hasTrouble ? 'with the disruption' : 'without the disruption')
    const isBroken = await play({ record, atEnd: end => { endings.push(end) } })
    record.add(isBroken ? 'the rule was broken' : 'the rule held')
    code = isBroken ? 1 : 0
    writeSync(1, isBroken ? 'broken\n' : 'held\n')
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`)
    writeSync(1, `could not run: ${error.message}\n`)
  }
  await finish()
}
