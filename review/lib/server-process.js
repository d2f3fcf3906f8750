/**
 * A server of the model as a process of its own, so that it can be stopped and continued. It registers through its parent.
 */
import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { newServerId, openServer } from './servers.js'

const FILE = fileURLToPath(import.meta.url)

/** Starts the process. @returns its controls. */
export function forkServer ({ store, zone, onRun = () => {}, backlog }) {
  const id = newServerId()
  const child = fork(FILE, [JSON.stringify({ zone, backlog, id })])
  const ended = new Promise(resolve => { child.on('exit', resolve) })
  child.on('message', ({ key, value, run }) => {
    if (key !== undefined) store.put(key, value)
    if (run !== undefined) onRun(run)
  })
  return {
    id,
    child,
    setTrouble () {},
    async close () {
      child.kill('SIGKILL')
      await ended
    }
  }
}

if (process.argv[1] === FILE && process.send !== undefined) {
  const { zone, backlog, id } = JSON.parse(process.argv[2])
  await openServer({
    store: { put: (key, value) => process.send({ key, value }) },
    service: 'model',
    kind: 'model',
    zone,
    backlog,
    id,
    onRun: run => process.send({ run })
  })
}
