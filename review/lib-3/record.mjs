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
 * @param play plays the case and ends all that it started; it returns whether the rule was broken.
 */
export async function runCase (file, play) {
  const record = createRecord()
  const hasTrouble = process.env.TROUBLE !== '0'
  const endings = []
  let code = CANNOT_RUN
  const timer = setTimeout(() => {
    record.add('the case took too long')
    void finish()
  }, LIMIT_MILLISECONDS)

  async function finish () {
    clearTimeout(timer)
    for (const end of endings.reverse()) await end()
    record.write(file)
    process.exit(code)
  }

  try {
    record.add(hasTrouble ? 'with the disruption' : 'without the disruption')
    const isBroken = await play({ record, hasTrouble, atEnd: end => { endings.push(end) } })
    record.add(isBroken ? 'the rule was broken' : 'the rule held')
    code = isBroken ? 1 : 0
    writeSync(1, isBroken ? 'broken\n' : 'held\n')
  } catch (error) {
    record.add(`the case could not run: ${error.stack}`)
    writeSync(1, `could not run: ${error.message}\n`)
  }
  await finish()
}
