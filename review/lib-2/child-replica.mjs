/**
 * Starts a replica in a process of its own, and ends it by its process id.
 */
import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'

const PROGRAM = fileURLToPath(new URL('./replica-process.mjs', import.meta.url))

/** Opens a replica of the model. `stop` makes its process stand still, `go` lets it go on. */
export async function openChildReplica ({ zone, number, backlog, store, record, eventMs, endless, onFlood }) {
  const child = fork(PROGRAM, [JSON.stringify({ service: 'model', zone, number, backlog, eventMs, endless })])
  process.on('exit', () => { child.kill('SIGKILL') })
  let layers
  const opened = new Promise((resolve, reject) => {
    child.on('message', message => {
      if (message.entry !== undefined) {
        layers = message.entry.value.Layers
        store.write(message.entry.key, message.entry.value)
      }
      if (message.run !== undefined) record.run(message.run)
      if (message.flooding !== undefined) onFlood?.(message.flooding)
      if (message.opened !== undefined) resolve(message.opened)
    })
    child.on('exit', () => reject(new Error('the process of a replica ended')))
  })
  const { id, address } = await opened
  return {
    id,
    address,
    service: 'model',
    layers: () => layers,
    setFlooding: isFlooding => child.send({ isFlooding }),
    stop: () => child.kill('SIGSTOP'),
    go: () => child.kill('SIGCONT'),
    close () {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
  }
}
